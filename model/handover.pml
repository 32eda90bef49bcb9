/* Planned move of one key from target T to target N, with a takeover at any step. Host 0 (epoch 1)
 * drains the key from T, names N as standby in the row, grants the key to N, and writes the row
 * again. If a write of the row gets no answer, T gets the key back. Host 1 (epoch 2) acts on the row
 * that it finds. Writes are conditional: those of host 0 take effect before the takeover or never.
 * Two properties are assumed here and checked elsewhere: host 0's authority ends at most AUTHORITY
 * after the takeover (takeover.pml), and a target accepts no grant sent before the message that
 * drained the key (lease.pml). Times are remaining lifetimes. */
#ifndef AUTHORITY
#define AUTHORITY 2
#endif
#ifndef LEASE
#define LEASE 2
#endif

#define OLD 0       /* the row names T alone */
#define BOTH 1      /* T, with N as standby */
#define NEW 2       /* N alone */

byte number = 1;    /* epoch in the row */
byte row = OLD;
byte written = OLD; /* what host 0 last tried to write; differs from row while in flight */
byte settled = OLD; /* what host 0 knows to be in the row */
byte auth = AUTHORITY;
bool asked;         /* host 0 sent T a message without the key */
bool drained;       /* T has released the key, and host 0 knows it */
bool promoted;      /* host 0 counts N as owner */
byte tLease = LEASE, nLease;
byte tEpoch = 1, nEpoch;
byte grantT, grantN; /* host 0's grants in flight: lifetime of the lease that each gives */
byte found;         /* row as host 1 found it */
byte wait;
byte owner;         /* host 1's owner: 1 is T, 2 is N */
byte tToken = 1, nToken;

inline dec(x) { if :: x > 0 -> x-- :: else fi }
inline longer(x, y) { if :: y > x -> x = y :: else fi }

#ifdef NO_ROW
#define NAMED (true)
#else
#ifdef UNSETTLED_COUNTS
#define NAMED (written == BOTH)
#else
#define NAMED (written == BOTH && settled == BOTH)
#endif
#endif
#ifdef NO_DRAIN
#define MAYPROMOTE (NAMED)
#else
#define MAYPROMOTE (NAMED && drained)
#endif
#ifdef EARLY_ROW
#define MAYSETTLE (settled == BOTH)
#else
#define MAYSETTLE (promoted)
#endif
#ifdef NO_WAIT
#define OVER (true)
#else
#ifdef LEASE_ONLY
#define OVER (wait <= AUTHORITY)
#else
#define OVER (wait == 0)
#endif
#endif

#ifdef ONE_ASKED
#define NONEHOLDS (tEpoch == 2 && tLease == 0)
#else
#define NONEHOLDS (tEpoch == 2 && nEpoch == 2 && tLease == 0 && nLease == 0)
#endif
#ifdef OLD_TOKEN
#define TOKENAFTERWAIT 1
#else
#define TOKENAFTERWAIT 3
#endif

active proctype all() {
end:
  do
  :: atomic { auth + tLease + nLease + grantT + grantN + wait > 0 ->
       if :: number == 2 -> dec(auth) :: else fi;
       dec(tLease); dec(nLease); dec(grantT); dec(grantN); dec(wait) }

  /* Host 0. It can renew its authority until the takeover. */
  :: atomic { auth > 0 && !asked && grantT == 0 -> grantT = LEASE }
  :: atomic { auth > 0 && !asked -> asked = true; grantT = 0 }
  :: atomic { asked && !drained && tEpoch == 1 -> tLease = 0; drained = true }
  :: atomic { auth > 0 && written == OLD && settled == OLD && drained -> written = BOTH }
  :: atomic { auth > 0 && MAYPROMOTE && !promoted -> promoted = true }
  :: atomic { auth > 0 && promoted && grantN == 0 -> grantN = LEASE }
  :: atomic { auth > 0 && written == BOTH && settled == BOTH && MAYSETTLE -> written = NEW }
  /* T did not drain in time, or the write got no answer: T keeps the key. */
#ifdef LATE_RETURN
  :: atomic { auth > 0 && asked -> asked = false; drained = false }
#else
  :: atomic { auth > 0 && asked && !promoted -> asked = false; drained = false }
#endif
  :: atomic { auth > 0 && !asked && written == BOTH && settled == BOTH -> written = OLD }
  :: atomic { number == 1 && row != written -> row = written }
  :: atomic { row == written && settled != written && number == 1 -> settled = written }

  /* Grants of host 0 arrive; a target that knows epoch 2 refuses them. */
  :: atomic { grantT > 0 ->
       if :: tEpoch == 1 && !drained -> longer(tLease, grantT) :: else fi; grantT = 0 }
  :: atomic { grantN > 0 ->
       if
       :: nEpoch <= 1 -> assert(nToken == 2 || tToken < 2);
          nEpoch = 1; longer(nLease, grantN); nToken = 2
       :: else
       fi;
       grantN = 0 }

  /* Host 1. */
  :: atomic { number == 1 -> number = 2; found = row; wait = AUTHORITY + LEASE }
  :: atomic { number == 2 && owner == 0 && found == OLD -> owner = 1 }
  :: atomic { number == 2 && owner == 0 && found == NEW -> owner = 2 }
  :: atomic { number == 2 && owner == 0 && found == BOTH && OVER ->
       if :: owner = 1 :: owner = 2 fi }
  /* Host 1 makes both targets adopt epoch 2; they report the leases that they hold. */
  :: atomic { number == 2 && owner == 0 && found == BOTH && tEpoch == 1 -> tEpoch = 2 }
  :: atomic { number == 2 && owner == 0 && found == BOTH && nEpoch < 2 -> nEpoch = 2 }
  :: atomic { number == 2 && owner == 0 && found == BOTH && tEpoch == 2 && tLease > 0 -> owner = 1 }
  :: atomic { number == 2 && owner == 0 && found == BOTH && nEpoch == 2 && nLease > 0 -> owner = 2 }
  :: atomic { number == 2 && owner == 0 && found == BOTH && NONEHOLDS ->
       if :: owner = 1 :: owner = 2 fi }
  :: atomic { owner == 1 && tLease < LEASE ->
       if :: found == BOTH -> tToken = TOKENAFTERWAIT :: else fi;
       assert(nToken < tToken); tEpoch = 2; tLease = LEASE }
  :: atomic { owner == 2 && nLease < LEASE ->
       if :: found == NEW -> nToken = 2 :: else -> nToken = 3 fi;
       assert(tToken < nToken); nEpoch = 2; nLease = LEASE }

  :: atomic { tLease > 0 && nLease > 0 -> assert(false) }
  od
}
