#include "pimentomast/command.h"

#include <iostream>

int main(int argc, char** argv)
{
    return pimentomast::command::run({ argv + 1, argv + argc }, std::cout, std::cerr);
}
