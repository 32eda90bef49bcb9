/* Two consecutive takeovers. Host 0 holds epoch 1 and extends its authority through its five
 * witnesses. Host 1 takes epoch 2, names other witnesses and may release the epoch voluntarily. Host 2
 * takes epoch 3. Only host 0 can reach target T. The row keeps naming the witnesses of epoch 1 until
 * epoch 2 has seen a majority of them read the new epoch and has waited for epoch 1's authority to
 * expire. */
#ifndef AUTHORITY
#define AUTHORITY 2
#endif
#ifndef LEASE
#define LEASE 2
#endif
#define ALL 31

byte number = 1;
byte auth = AUTHORITY;
bool inRound;
byte roundLife, agreed;
byte seen[5] = 1;
byte named;               /* witnesses of epoch 2 */
bool carried;             /* the row still names the witnesses of epoch 1 */
bool released;            /* host 1 released epoch 2 voluntarily */
bool allSeen2, allSeen3;
byte wait2, wait3;
byte tLease;
bool granted;

inline dec(x) { if :: x > 0 -> x-- :: else fi }
#define BITS(x) (((x) & 1) + (((x) >> 1) & 1) + (((x) >> 2) & 1) + (((x) >> 3) & 1) + (((x) >> 4) & 1))
#define READERS(e) ((seen[0] >= e) + 2 * (seen[1] >= e) + 4 * (seen[2] >= e) + 8 * (seen[3] >= e) + 16 * (seen[4] >= e))
#define MAJ(set, who) (2 * BITS((set) & (who)) > BITS(set))
#ifdef ONLY_LAST
#define EARLIER_SEEN (true)
#else
#define EARLIER_SEEN (!carried || MAJ(ALL, READERS(2)))
#endif
#ifdef CLEAR_EARLY
#define MAYCLEAR (allSeen2)
#else
#define MAYCLEAR (allSeen2 && wait2 <= LEASE)
#endif

active proctype all() {
end:
  do
  :: atomic { auth + roundLife + wait2 + wait3 + tLease > 0 ->
       dec(auth); dec(roundLife); dec(wait2); dec(wait3); dec(tLease) }
  :: atomic { seen[0] == 1 && !inRound -> inRound = true; roundLife = AUTHORITY; agreed = 1 }
  :: atomic { inRound && seen[1] == 1 -> agreed = agreed | 2 }
  :: atomic { inRound && seen[2] == 1 -> agreed = agreed | 4 }
  :: atomic { inRound && seen[3] == 1 -> agreed = agreed | 8 }
  :: atomic { inRound && seen[4] == 1 -> agreed = agreed | 16 }
  :: atomic { inRound && seen[0] == 1 && MAJ(ALL, agreed) ->
       if :: roundLife > auth -> auth = roundLife :: else fi;
       inRound = false; roundLife = 0; agreed = 0 }
  :: atomic { inRound -> inRound = false; roundLife = 0; agreed = 0 }
  :: atomic { seen[0] == 1 && auth > 0 -> tLease = LEASE }

  :: atomic { number == 1 ->
       number = 2; seen[1] = 2; carried = true;
       if :: named = ALL :: named = 2 :: named = 6 :: named = 14 fi }
  :: atomic { number == 2 && !allSeen2 && MAJ(ALL, READERS(2)) -> allSeen2 = true; wait2 = AUTHORITY + LEASE }
  :: atomic { number == 2 && carried && MAYCLEAR -> carried = false }
  :: atomic { number == 2 && !granted && allSeen2 && wait2 == 0 -> granted = true }

  :: atomic { number == 2 -> number = 3; seen[2] = 3 }
  :: atomic { number == 2 -> number = 3; seen[2] = 3; released = true }
  :: atomic { number == 3 && !allSeen3 && !released && MAJ(named, READERS(3)) && EARLIER_SEEN ->
       allSeen3 = true; wait3 = AUTHORITY + LEASE }
  :: atomic { number == 3 && !allSeen3 && released && EARLIER_SEEN ->
       allSeen3 = true; wait3 = (carried -> AUTHORITY + LEASE : LEASE) }
  :: atomic { number == 3 && !granted && allSeen3 && wait3 == 0 -> granted = true }

  :: atomic { seen[0] < number -> seen[0] = number }
  :: atomic { seen[1] < number -> seen[1] = number }
  :: atomic { seen[2] < number -> seen[2] = number }
  :: atomic { seen[3] < number -> seen[3] = number }
  :: atomic { seen[4] < number -> seen[4] = number }
  :: atomic { granted && tLease > 0 -> assert(false) }
  od
}
