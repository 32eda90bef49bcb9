/* Takeover and witnesses, with one key, old owner T and new owner N. Host 0 holds epoch 1 and extends
 * its authority by renewals or through its witnesses (all three hosts); host 1 takes epoch 2. Every
 * step may be delayed by any time, which covers pauses, network partitions, lost answers and outages.
 * One host and T may restart and lose their state. Times are remaining lifetimes. */
#ifndef AUTHORITY
#define AUTHORITY 2
#endif
#ifndef LEASE
#define LEASE 2
#endif

byte number = 1;          /* epoch in the row */
byte auth = AUTHORITY;    /* authority of host 0 */
byte renewal;             /* lifetime of a renewal written to the row, its answer pending */
bool renewed;
bool inRound;
byte roundLife, agreed;   /* a witness round: authority counted from its start, and who agreed */
byte seen[3] = 1;         /* highest epoch that the host has read */
bool fresh[3];            /* restarted: the row names its previous incarnation */
bool forgot[3];           /* restarted and has not read the row since */
byte restarts, tRestarts;
bool allSeen, ended;      /* a majority has read epoch 2; the old authority has expired since */
byte wait;
bool sent;
byte sentRun;             /* restarts of T when the grant was sent, used as its incarnation */
byte echo;                /* a grant of host 0 in flight: lifetime of the lease that it gives */
byte tLease, tEpoch = 1;
bool granted;

inline dec(x) { if :: x > 0 -> x-- :: else fi }

#define BITS(x) (((x) & 1) + (((x) >> 1) & 1) + (((x) >> 2) & 1))
/* A run that answers after a restart has read the row; the run that the row names is gone. */
#define READ(h) (seen[h] == 2)
#ifdef ANY_WITNESS_ENDS
#define HOLDER_READ (READ(2))
#else
#define HOLDER_READ (READ(0))
#endif
#ifdef ONE_WITNESS
#define MAJ(n) ((n) >= 1)
#else
#define MAJ(n) ((n) >= 2)
#endif
#ifdef RESTARTED_COUNTS
#define AGREES(h) ((!fresh[h] && seen[h] == 1) || forgot[h])
#else
#define AGREES(h) (!fresh[h] && seen[h] == 1)
#endif
#ifdef NO_EPOCH_AT_TARGET
#define TAKES(e) (true)
#else
#define TAKES(e) (tEpoch <= e)
#endif
#ifdef NO_INCARNATION
#define SAMERUN (true)
#else
#define SAMERUN (sentRun == tRestarts)
#endif
#ifdef MOVE_EARLY
#define MAYMOVE (true)
#else
#define MAYMOVE (ended)
#endif
#ifdef NO_STEP_DOWN
#define HOLDS (!fresh[0])
#else
#define HOLDS (!fresh[0] && seen[0] == 1)
#endif

#define RESTART(h) \
  :: atomic { restarts == 0 && number == 2 && h != 1 && !fresh[h] -> \
       restarts = 1; fresh[h] = true; forgot[h] = true; \
       if :: h == 0 -> auth = 0 :: else fi }

active proctype all() {
end:
  do
  :: atomic { auth + renewal + roundLife + wait + tLease + echo > 0 ->
       dec(auth); dec(renewal); dec(roundLife); dec(wait); dec(tLease); dec(echo);
       if :: allSeen && wait <= LEASE -> ended = true :: else fi }

  /* Host 0, epoch 1. A renewal takes effect only before the takeover. */
  :: atomic { HOLDS && number == 1 && !renewed -> renewed = true; renewal = AUTHORITY }
  :: atomic { HOLDS && renewed ->
#ifdef FROM_ANSWER
       auth = AUTHORITY;
#else
       if :: renewal > auth -> auth = renewal :: else fi;
#endif
       renewed = false; renewal = 0 }
  :: atomic { HOLDS && !inRound -> inRound = true; roundLife = AUTHORITY; agreed = 1 }
  :: atomic { inRound && AGREES(1) && !(agreed & 2) -> agreed = agreed | 2 }
  :: atomic { inRound && AGREES(2) && !(agreed & 4) -> agreed = agreed | 4 }
  :: atomic { HOLDS && inRound && MAJ(BITS(agreed)) ->
#ifdef FROM_ROUND_END
       auth = AUTHORITY;
#else
       if :: roundLife > auth -> auth = roundLife :: else fi;
#endif
       inRound = false; roundLife = 0; agreed = 0 }
  :: atomic { inRound -> inRound = false; roundLife = 0; agreed = 0 }
#ifdef NO_AUTHORITY
  :: atomic { HOLDS && !sent -> sent = true; sentRun = tRestarts; echo = LEASE }
#else
  :: atomic { HOLDS && auth > 0 && !sent -> sent = true; sentRun = tRestarts; echo = LEASE }
#endif
  :: atomic { sent ->
       if
       :: TAKES(1) && SAMERUN ->
          if :: echo > tLease -> tLease = echo :: else fi;
          if :: tEpoch == 0 -> tEpoch = 1 :: else fi
       :: else
       fi;
       sent = false; sentRun = 0; echo = 0 }

  /* Host 1, epoch 2. */
  :: atomic { number == 1 ->
       number = 2; seen[1] = 2;
#ifdef NO_WITNESS_WAIT
       allSeen = true; ended = true; wait = LEASE;
#endif
     }
  :: atomic { number == 2 && !allSeen && MAJ(READ(0) + READ(1) + READ(2)) ->
       allSeen = true;
#ifdef NO_AUTHORITY_WAIT
       ended = true; wait = LEASE
#else
       wait = AUTHORITY + LEASE
#endif
     }
  /* The earlier holder itself has read epoch 2, or has ended: its authority has too. */
  :: atomic { number == 2 && !allSeen && HOLDER_READ -> allSeen = true; ended = true; wait = LEASE }
  :: atomic { number == 2 && !granted && tEpoch != 2 -> tEpoch = 2 }
  :: atomic { number == 2 && !granted && tEpoch == 2 -> tLease = LEASE }
#ifdef NO_LEASE_WAIT
  :: atomic { number == 2 && !granted && ended && tEpoch != 2 -> granted = true }
#else
  :: atomic { number == 2 && !granted && ended && wait == 0 && tLease == 0 -> granted = true }
  :: atomic { number == 2 && !granted && ended && wait == 0 && tEpoch != 2 -> granted = true }
#endif
  :: atomic { number == 2 && !granted && tEpoch == 2 && MAYMOVE -> tLease = 0; granted = true }

  /* Hosts read the row, also after a restart. */
  :: atomic { seen[0] < number -> seen[0] = number; forgot[0] = false }
  :: atomic { seen[2] < number -> seen[2] = number; forgot[2] = false }
  RESTART(0)
  RESTART(2)
  :: atomic { tRestarts == 0 -> tRestarts = 1; tLease = 0; tEpoch = 0 }
  :: atomic { granted && tLease > 0 -> assert(false) }
  od
}
