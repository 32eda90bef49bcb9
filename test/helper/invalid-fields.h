#pragma once

#include <sstream>
#include <string>
#include <vector>

namespace pimentomast::test {

/// Returns lines of a head whose field name holds a blank or a control byte, or that have no name.
/// Some would frame the body if they were read leniently; those that start with a blank or a tab
/// continue the field before them, if there is one.
inline std::vector<std::string> invalidFieldLines()
{
    constexpr char firstPrintable = '!';
    std::vector<std::string> lines { " Content-Length: 3", "\tContent-Length: 3",
        " Transfer-Encoding: chunked", "Content-Length : 3", "Content-Length\t: 3",
        "Content Length: 3", "Transfer-Encoding : chunked", ": 3", "Content-Length", " ", "\t",
        "X-O\x7f: 1" };
    for (char letter = 0; letter < firstPrintable; ++letter) {
        lines.push_back(std::string("X-O") + letter + "dd: 1");
        lines.push_back(std::string(1, letter) + "X-Odd: 1");
        lines.push_back(std::string("X-Odd") + letter + ": 1");
    }
    return lines;
}

/// Returns the line with blanks and control bytes as numbers, for messages.
inline std::string shown(const std::string& line)
{
    std::ostringstream text;
    for (const char letter : line) {
        if (letter > ' ' && letter < '\x7f')
            text << letter;
        else
            text << '<' << int(static_cast<unsigned char>(letter)) << '>';
    }
    return text.str();
}

} // namespace pimentomast::test
