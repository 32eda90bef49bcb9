#include "pimentomast/peers.h"
