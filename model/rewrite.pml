/* A coordinator changes its witnesses from {0, 1, 2} to {0, 3, 4}, and the answer to the write may be
 * lost. Host 0 holds epoch 1; host 1 takes epoch 2 and asks the witnesses that the row names. Only
 * host 0 can reach target T. OLD and NEW are the two sets as bit masks. */
#ifndef AUTHORITY
#define AUTHORITY 2
#endif
#ifndef LEASE
#define LEASE 2
#endif
#define OLD 7
#define NEW 25

byte number = 1;
byte auth = AUTHORITY;
bool inRound;
byte roundLife, agreed;
bool rewritten;           /* the row names NEW */
bool open, settled;       /* host 0 sent the rewrite; host 0 knows that it took effect */
byte seen[5] = 1;
bool allSeen;
byte wait, tLease;
bool granted;

inline dec(x) { if :: x > 0 -> x-- :: else fi }
#define BITS(x) (((x) & 1) + (((x) >> 1) & 1) + (((x) >> 2) & 1) + (((x) >> 3) & 1) + (((x) >> 4) & 1))
#define READERS ((seen[0] >= 2) + 2 * (seen[1] >= 2) + 4 * (seen[2] >= 2) + 8 * (seen[3] >= 2) + 16 * (seen[4] >= 2))
#define MAJ(set, who) (2 * BITS((set) & (who)) > BITS(set))
#define OLDOK (settled || MAJ(OLD, agreed))
#ifdef UNSETTLED_IGNORED
#define NEWOK (!settled || MAJ(NEW, agreed))
#else
#define NEWOK (!open || MAJ(NEW, agreed))
#endif
#ifdef NEW_AT_ONCE
#define AGREED (open -> MAJ(NEW, agreed) : MAJ(OLD, agreed))
#else
#define AGREED (OLDOK && NEWOK)
#endif

active proctype all() {
end:
  do
  :: atomic { auth + roundLife + wait + tLease > 0 ->
       dec(auth); dec(roundLife); dec(wait); dec(tLease) }
  :: atomic { seen[0] == 1 && !inRound -> inRound = true; roundLife = AUTHORITY; agreed = 1 }
  :: atomic { inRound && seen[1] == 1 -> agreed = agreed | 2 }
  :: atomic { inRound && seen[2] == 1 -> agreed = agreed | 4 }
  :: atomic { inRound && seen[3] == 1 -> agreed = agreed | 8 }
  :: atomic { inRound && seen[4] == 1 -> agreed = agreed | 16 }
  :: atomic { inRound && seen[0] == 1 && AGREED ->
       if :: roundLife > auth -> auth = roundLife :: else fi;
       inRound = false; roundLife = 0; agreed = 0 }
  :: atomic { inRound -> inRound = false; roundLife = 0; agreed = 0 }
  :: atomic { seen[0] == 1 && auth > 0 -> tLease = LEASE }
  :: atomic { seen[0] == 1 && !open -> open = true }
  :: atomic { open && !rewritten && number == 1 -> rewritten = true }
  :: atomic { open && !settled && rewritten -> settled = true }

  :: atomic { number == 1 -> number = 2; seen[1] = 2 }
  :: atomic { number == 2 && !allSeen && MAJ((rewritten -> NEW : OLD), READERS) ->
       allSeen = true; wait = AUTHORITY + LEASE }
  :: atomic { number == 2 && !granted && allSeen && wait == 0 -> granted = true }
  :: atomic { seen[0] < number -> seen[0] = number }
  :: atomic { seen[1] < number -> seen[1] = number }
  :: atomic { seen[2] < number -> seen[2] = number }
  :: atomic { seen[3] < number -> seen[3] = number }
  :: atomic { seen[4] < number -> seen[4] = number }
  :: atomic { granted && tLease > 0 -> assert(false) }
  od
}
