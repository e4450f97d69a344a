#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace shallotdrift::standin {

// Fields of a text like "run_ms=120&fail=0&answer_bytes=2000&key=..."; used for work bodies and query strings.
class WorkText {
public:
    explicit WorkText(std::string_view);

    std::string text(const std::string& name) const;
    // The default stands for absent and malformed numbers.
    uint64_t number(const std::string& name, uint64_t defaultValue) const;

private:
    std::map<std::string, std::string> fields_;
};

// Content that a target answers: a pure function of the request id, so that a caller can verify it.
std::string answerContent(std::string_view requestId, size_t length);

} // namespace shallotdrift::standin
