/* Target lease timed by an echoed reading of the target's own clock, with one key, old owner T, new
 * owner N, and a coordinator that does not change. Times are remaining lifetimes, so a clock reading
 * is represented by the remaining lifetime of a lease that starts at it. Messages may be delayed,
 * reordered and lost. T may freeze (modeled as late delivery) and restart. */
#ifndef LEASE
#define LEASE 2
#endif
#ifndef MESSAGES
#define MESSAGES 4
#endif
#define SLOTS 2
#define NONE 0
#define GRANT 1
#define DRAIN 2
#define HELD 1
#define FREE 2
#define REFUSED 3

byte mKind[SLOTS], mLife[SLOTS], mSeq[SLOTS], mRun[SLOTS];
byte aKind[SLOTS], aLife[SLOTS], aSeq[SLOTS], aRun[SLOTS];
byte tLease, tSeq, tRun = 1;
byte cLife = LEASE, cKnown = LEASE, cWait, cSeq, cAnswered, cDrainSeq, cRun = 1;
bool draining, drained, granted;
byte i;

inline dec(x) { if :: x > 0 -> x-- :: else fi }

inline tick() {
  dec(tLease); dec(cLife); dec(cKnown); dec(cWait);
  i = 0;
  do
  :: i < SLOTS -> dec(mLife[i]); dec(aLife[i]); i++
  :: else -> break
  od
}

inline sendMessage(s, kind) {
  cSeq++;
  mKind[s] = kind; mLife[s] = cLife; mSeq[s] = cSeq; mRun[s] = cRun;
  if :: kind == GRANT && cKnown > cWait -> cWait = cKnown :: else fi;
  if :: kind == DRAIN && cDrainSeq == 0 -> cDrainSeq = cSeq :: else fi
}

inline reply(s, kind, seq) {
  if
  :: aKind[s] == NONE -> aKind[s] = kind; aLife[s] = LEASE; aSeq[s] = seq; aRun[s] = tRun
  :: true -> skip /* the reply is lost */
  fi
}

inline deliver(s) {
  if
#ifndef NO_INCARNATION
  :: mRun[s] != tRun -> reply(s, REFUSED, mSeq[s])
#endif
#ifndef NO_SEQUENCE
  :: mSeq[s] <= tSeq -> skip
#endif
  :: else ->
     tSeq = mSeq[s];
     if
     :: mKind[s] == GRANT ->
#ifdef LEASE_FROM_RECEIPT
        tLease = LEASE;
#else
        tLease = mLife[s];
#endif
        reply(s, HELD, mSeq[s])
     :: mKind[s] == DRAIN -> tLease = 0; reply(s, FREE, mSeq[s])
     fi
  fi;
  mKind[s] = NONE; mLife[s] = 0; mSeq[s] = 0; mRun[s] = 0
}

inline receive(s) {
  if
  :: aSeq[s] > cAnswered ->
     cAnswered = aSeq[s];
     if
     :: aRun[s] != cRun ->
        cRun = aRun[s]; cWait = 0;
#ifndef NO_RUN_ORDER
        cAnswered = cSeq /* ignore replies to earlier messages: they may come from the previous run */
#endif
     :: else
     fi;
     cLife = aLife[s]; cKnown = LEASE;
     if
#ifdef STALE_ANSWER
     :: draining -> drained = true
#else
     :: draining && aKind[s] == FREE && aSeq[s] >= cDrainSeq -> drained = true
#endif
     :: else
     fi
  :: else
  fi;
  aKind[s] = NONE; aLife[s] = 0; aSeq[s] = 0; aRun[s] = 0
}

inline lose(s) { mKind[s] = NONE; mLife[s] = 0; mSeq[s] = 0; mRun[s] = 0 }

active proctype all() {
end:
  do
  :: atomic { tick() }
  :: atomic { !granted && !draining && cSeq < MESSAGES && mKind[0] == NONE -> sendMessage(0, GRANT) }
  :: atomic { !granted && !draining && cSeq < MESSAGES && mKind[1] == NONE -> sendMessage(1, GRANT) }
  :: atomic { !granted && cSeq < MESSAGES && mKind[0] == NONE -> draining = true; sendMessage(0, DRAIN) }
  :: atomic { !granted && cSeq < MESSAGES && mKind[1] == NONE -> draining = true; sendMessage(1, DRAIN) }
  :: atomic { mKind[0] != NONE -> deliver(0) }
  :: atomic { mKind[1] != NONE -> deliver(1) }
  :: atomic { mKind[0] != NONE -> lose(0) }
  :: atomic { mKind[1] != NONE -> lose(1) }
  :: atomic { aKind[0] != NONE -> receive(0) }
  :: atomic { aKind[1] != NONE -> receive(1) }
  :: atomic { tRun == 1 -> tRun = 2; tLease = 0; tSeq = 0 }
  :: atomic { !granted && drained -> granted = true }
#ifdef NO_LEASE_WAIT
  :: atomic { !granted -> granted = true }
#else
  :: atomic { !granted && cWait == 0 -> granted = true }
#endif
  :: atomic { granted && tLease > 0 -> assert(false) }
  od
}
