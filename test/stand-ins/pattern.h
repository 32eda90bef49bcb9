#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

/// Bytes of long bodies, which depend on the position so that missing, repeated or reordered parts
/// are detected.
namespace stand_in {

/// Returns the byte at the given position.
constexpr char patternByte(std::uint64_t position)
{
    const std::uint64_t mixed = (position ^ (position >> 13U)) * 0x9e3779b97f4a7c15ULL;
    return static_cast<char>('A' + (mixed >> 40U) % 50);
}

/// Returns the bytes from `begin` on.
inline std::string patternBytes(std::uint64_t begin, std::size_t length)
{
    std::string bytes(length, '\0');
    for (std::size_t i = 0; i < length; ++i)
        bytes[i] = patternByte(begin + i);
    return bytes;
}

} // namespace stand_in
