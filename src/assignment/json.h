#pragma once

#include "pimentomast/assignment.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/NumberFormatter.h>
#include <Poco/NumberParser.h>
#include <sstream>

/// Helpers for the JSON text of rows.
namespace pimentomast::ownership::detail {

constexpr std::size_t hashDigits = 16;

inline std::string hexText(std::uint64_t value)
{
    return Poco::NumberFormatter::formatHex(
        static_cast<Poco::UInt64>(value), static_cast<int>(hashDigits));
}

/// Throws Poco::SyntaxException if the text is not a hexadecimal number.
inline std::uint64_t hexNumber(const std::string& text)
{
    return Poco::NumberParser::parseHex64(text);
}

inline std::string text(const Poco::JSON::Object& object)
{
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

/// Throws Poco::InvalidArgumentException if the field is missing or not an array.
inline Poco::JSON::Array::Ptr arrayOf(const Poco::JSON::Object& object, const std::string& name)
{
    auto array = object.getArray(name);
    if (!array)
        throw Poco::InvalidArgumentException(name + " is not an array");
    return array;
}

/// Parses a JSON object and converts it; a Poco::Exception that is thrown becomes an error.
template <class T, class Convert>
result<T> parseObject(const std::string& step, const std::string& text, Convert convert)
{
    try {
        Poco::JSON::Parser parser;
        return convert(*parser.parse(text).extract<Poco::JSON::Object::Ptr>());
    } catch (const Poco::Exception& caught) {
        return error { step, "", caught.displayText() };
    }
}

} // namespace pimentomast::ownership::detail
