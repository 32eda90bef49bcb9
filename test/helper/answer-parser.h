#pragma once

#include <Poco/NumberParser.h>
#include <string>
#include <vector>

namespace pimentomast::test {

/// One answer as a caller sees it.
struct parsed_answer {
    int status = 0;
    std::string head;
    std::string body;
    /// The framing says that the answer is whole.
    bool complete = false;
};

/// Reads a chunked body from the start of the input and removes it.
inline void parseChunks(std::string& input, parsed_answer& answer)
{
    for (std::size_t end = input.find("\r\n"); end != std::string::npos; end = input.find("\r\n")) {
        unsigned size = 0;
        if (!Poco::NumberParser::tryParseHex(input.substr(0, end), size)
            || input.size() < end + 2 + size + 2)
            break;
        answer.body += input.substr(end + 2, size);
        input.erase(0, end + 2 + size + 2);
        if (size == 0) {
            answer.complete = true;
            return;
        }
    }
    input.clear();
}

/// Reads a body with a length from the start of the input and removes it.
inline void parseLength(std::string& input, std::size_t length, parsed_answer& answer)
{
    answer.body = input.substr(0, length);
    answer.complete = answer.body.size() == length;
    input.erase(0, length);
}

/// Splits the bytes that a caller received into the answers to its GET, PUT and POST requests.
/// Interim answers are left out. Bytes that are no answer become one with status 0.
inline std::vector<parsed_answer> parseAnswers(std::string input)
{
    std::vector<parsed_answer> answers;
    while (!input.empty()) {
        parsed_answer answer;
        const std::size_t end = input.find("\r\n\r\n");
        answer.head = input.substr(0, end);
        const bool isAnswer = answer.head.starts_with("HTTP/1.1 ") && answer.head.size() > 12;
        if (end == std::string::npos || !isAnswer) {
            answers.push_back(answer);
            break;
        }
        answer.status = Poco::NumberParser::parse(answer.head.substr(9, 3));
        input.erase(0, end + 4);
        if (answer.status < 200)
            continue;
        const std::size_t length = answer.head.find("Content-Length: ");
        if (answer.status == 204 || answer.status == 304)
            answer.complete = true;
        else if (answer.head.find("Transfer-Encoding: chunked") != std::string::npos)
            parseChunks(input, answer);
        else if (length != std::string::npos)
            parseLength(input, std::stoul(answer.head.substr(length + 16)), answer);
        answers.push_back(answer);
    }
    return answers;
}

} // namespace pimentomast::test
