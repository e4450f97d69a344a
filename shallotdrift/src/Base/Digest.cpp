#include "Digest.h"

#include <charconv>
#include <fmt/format.h>
#include <xxhash.h>

namespace shallotdrift {

static constexpr size_t digestHexLength = 16;

uint64_t digestOf(std::string_view bytes, uint64_t seed) { return XXH64(bytes.data(), bytes.size(), seed); }

std::string digestToHex(uint64_t digest) { return fmt::format("{:016x}", digest); }

std::optional<uint64_t> digestFromHex(std::string_view text)
{
    if (text.size() != digestHexLength)
        return std::nullopt;
    uint64_t value = 0;
    auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace shallotdrift
