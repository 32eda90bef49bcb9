#include "pimentomast/command.h"

int main() { return 0; }
