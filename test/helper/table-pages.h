#pragma once

#include "scripted-server.h"

#include <Poco/Base64Encoder.h>
#include <sstream>

/// Answers of the platform's store with pages of rows, for tests of what follows its tables.
namespace pimentomast::test {

inline std::string base64(const std::string& bytes)
{
    std::ostringstream text;
    Poco::Base64Encoder encoder(text);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return text.str();
}

inline std::string page(int version, const std::string& key, const std::string& value)
{
    return R"({"ver":)" + std::to_string(version) + R"(,"rows":[{"key":")" + key + R"(","ver":)"
        + std::to_string(version) + R"(,"value":")" + base64(value) + R"("}]})";
}

inline std::string answer(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Returns a configuration with one route to one service, whose spec has further fields; version
/// has 8 hexadecimal digits.
inline std::string configurationWith(
    const std::string& serviceFields, const std::string& version = "0000000c")
{
    return R"({"version":")" + version
        + R"(","resources":[)"
          R"({"type":"services","metadata":{"name":"weights"},"spec":)"
          R"({"healthPath":"/healthz","maxConns":130)"
        + serviceFields
        + R"(}},{"type":"routes","metadata":{"name":"r1"},"spec":{"host":"a.example",)"
          R"("prefix":"/w/","timeout":"0.8s","slo":"300ms","priority":2,"attempts":2,)"
          R"("kind":"idempotent","service":"weights"}}]})";
}

inline const std::string configurationText = configurationWith("");
inline const std::string keyedConfiguration = configurationWith(R"(,"sharded":true)");

inline std::string registrationText(const std::string& state)
{
    return R"({"address":"10.128.0.9:8080","born":1790000000000,"info":{"service":"weights",)"
           R"("zone":"k","capacity":4},"status":{"state":")"
        + state + R"("}})";
}

} // namespace pimentomast::test
