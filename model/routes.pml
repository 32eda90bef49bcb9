/* Route leases for targets that do not check tokens: two hosts, targets A and B, and one key that
 * moves from A to B under the first coordinator (version 2) or under the next one (version 3: at A,
 * version 4: at B). Times are remaining lifetimes. Messages may be late or lost, and hosts may pause
 * between any two steps.
 * Not modeled: sequence numbers and incarnations (see lease.pml), majorities (see takeover.pml).
 * Assumed: a request ends before its host's lease expires (REQUEST_OUTLASTS_LEASE removes that
 * assumption). */
#ifndef LEASE
#define LEASE 2
#endif
#ifndef AUTHORITY
#define AUTHORITY 1
#endif
#define HOSTS 2
#define EPOCH(v) (v >= 3 -> 2 : 1)
#define AT_B(v) (v == 2 || v == 4)

/* Per host: newest assignment, highest confirmed one, version and remaining life of its lease, and
 * whether it has requests at A and at B. */
byte has[HOSTS] = 1, said[HOSTS] = 1, leased[HOSTS] = 1, life[HOSTS];
bool atA[HOSTS], atB[HOSTS];
/* Renewals in flight. Late answers need no modeling: their effect is that of a coordinator that acts
 * late. */
bool sent[HOSTS];
byte mVersion[HOSTS], mLife[HOSTS];
/* The coordinator: the version that it committed and the one that it leases; for each host, the last
 * answer, the clock reading in it, and the remaining life of the lease granted. */
byte committed = 1, leasable = 1, movedAt;
byte said_[HOSTS] = 1, has_[HOSTS] = 1, reading[HOSTS], wait[HOSTS];
/* The previous coordinator: its version, its authority, and the wait for leases it may have granted. */
byte earlier, authority, earlierWait;
byte i;

inline dec(x) { if :: x > 0 -> x-- :: else fi }
#define TOKEN(v) (v < 3 -> v : (movedAt == 0 -> 1 : movedAt))
#define DRAINED(h) ((AT_B(has[h]) || !atB[h]) && (!AT_B(has[h]) || !atA[h]))
#define TAKES(h) (mVersion[h] > 0 && mVersion[h] <= has[h] && EPOCH(mVersion[h]) >= EPOCH(has[h]) && mVersion[h] >= leased[h])
#define AGREED(h) (said_[h] >= committed || wait[h] == 0)
#ifdef EARLIER_EPOCH_ONLY
#define ASKED(h) (said_[h] >= 3)
#else
#define ASKED(h) (said_[h] >= committed)
#endif
#ifdef EARLIER_NOT_ASKED
#define EARLIER_DONE (true)
#else
#define EARLIER_DONE (earlier == 0 || earlierWait == 0 || (ASKED(0) && ASKED(1)))
#endif
#ifdef NO_WAIT
#define ALL_AGREED (true)
#else
#define ALL_AGREED (AGREED(0) && AGREED(1) && EARLIER_DONE)
#endif
#ifdef NO_LEASE
#define MAY_FORWARD(h) (true)
#else
#ifdef ANY_VERSION
#define MAY_FORWARD(h) (life[h] > 0)
#else
#define MAY_FORWARD(h) (life[h] > 0 && TOKEN(has[h]) <= leased[h])
#endif
#endif

inline tick() {
  dec(authority); dec(earlierWait);
  i = 0;
  do
  :: i < HOSTS ->
     dec(life[i]); dec(mLife[i]); dec(reading[i]); dec(wait[i]);
#ifndef REQUEST_OUTLASTS_LEASE
     if :: life[i] == 0 -> atA[i] = false; atB[i] = false :: else fi;
#endif
     i++
  :: else -> break
  od
}

inline renew(h) {
  sent[h] = true;
  if
  :: has_[h] >= committed && reading[h] > 0 && leasable > 0 ->
     mVersion[h] = leasable; mLife[h] = reading[h];
     if :: reading[h] > wait[h] -> wait[h] = reading[h] :: else fi
  :: else
  fi
}

inline answer(h) {
  if
  :: TAKES(h) ->
     if :: mVersion[h] > leased[h] -> life[h] = 0 :: else fi;
     leased[h] = mVersion[h];
#ifdef LEASE_FROM_RECEIPT
     life[h] = LEASE
#else
     if :: mLife[h] > life[h] -> life[h] = mLife[h] :: else fi
#endif
  :: else
  fi;
  sent[h] = false; mVersion[h] = 0; mLife[h] = 0;
  if
#ifdef CONFIRM_UNDRAINED
  :: true -> said[h] = has[h]
#else
  :: DRAINED(h) -> said[h] = has[h]
#endif
  :: else
  fi;
  if
  :: true -> said_[h] = said[h]; has_[h] = has[h]; reading[h] = LEASE
  :: true /* the answer is lost */
  fi
}

inline takeOver() {
  earlier = leasable; authority = AUTHORITY; earlierWait = AUTHORITY + LEASE;
  committed = (committed == 1 -> 3 : 4);
  leasable = 0;
  i = 0;
  do
  :: i < HOSTS ->
     said_[i] = 0; has_[i] = 0; reading[i] = 0; wait[i] = 0; i++
  :: else -> break
  od
}

inline renewEarlier(h) { sent[h] = true; mVersion[h] = earlier; mLife[h] = LEASE }

#define HOST(h) \
  :: atomic { has[h] < committed -> has[h] = committed } \
  :: atomic { MAY_FORWARD(h) && !AT_B(has[h]) && !atA[h] -> atA[h] = true } \
  :: atomic { MAY_FORWARD(h) && AT_B(has[h]) && !atB[h] -> atB[h] = true } \
  :: atomic { atA[h] -> atA[h] = false } \
  :: atomic { atB[h] -> atB[h] = false } \
  :: atomic { !sent[h] -> renew(h) } \
  :: atomic { sent[h] -> answer(h) } \
  :: atomic { sent[h] -> sent[h] = false; mVersion[h] = 0; mLife[h] = 0 } \
  :: atomic { authority > 0 && !sent[h] -> renewEarlier(h) }

active proctype all() {
end:
  do
  :: atomic { tick() }
  HOST(0)
  HOST(1)
  :: atomic { committed == 1 -> committed = 2; movedAt = 2 }
  :: atomic { committed == 3 && authority == 0 -> committed = 4; movedAt = 4 }
  :: atomic { earlier == 0 -> takeOver() }
  :: atomic { leasable < committed && ALL_AGREED -> leasable = committed }
  :: atomic { (atA[0] || atA[1]) && (atB[0] || atB[1]) -> assert(false) }
  od
}
