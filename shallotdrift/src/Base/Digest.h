#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace shallotdrift {

// XXH64 of the bytes.
uint64_t digestOf(std::string_view bytes, uint64_t seed = 0);

// 16 lower-case hexadecimal digits.
std::string digestToHex(uint64_t);
std::optional<uint64_t> digestFromHex(std::string_view);

} // namespace shallotdrift
