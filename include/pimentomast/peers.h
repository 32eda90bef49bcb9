#pragma once

#include "pimentomast/core.h"
