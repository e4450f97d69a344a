#include "WorkText.h"

#include "shallotdrift/Base.h"
#include "shallotdrift/Http.h"

#include <limits>

namespace shallotdrift::standin {

WorkText::WorkText(std::string_view text)
{
    while (!text.empty()) {
        auto field = text.substr(0, text.find('&'));
        text.remove_prefix(std::min(text.size(), field.size() + 1));
        auto equals = field.find('=');
        if (equals != std::string_view::npos)
            fields_.emplace(field.substr(0, equals), field.substr(equals + 1));
    }
}

std::string WorkText::text(const std::string& name) const
{
    auto found = fields_.find(name);
    return found == fields_.end() ? "" : found->second;
}

uint64_t WorkText::number(const std::string& name, uint64_t defaultValue) const
{
    return parseNumber(text(name), std::numeric_limits<uint64_t>::max()).value_or(defaultValue);
}

std::string answerContent(std::string_view requestId, size_t length)
{
    std::string content;
    content.reserve(length + 16);
    for (uint64_t block = 0; content.size() < length; ++block)
        content += digestToHex(digestOf(requestId, block));
    content.resize(length);
    return content;
}

} // namespace shallotdrift::standin
