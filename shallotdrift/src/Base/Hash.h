#pragma once

#include <cstdint>
#include <string_view>

namespace shallotdrift {

// XXH64 of the bytes, the same in every process.
uint64_t hash64(std::string_view bytes);

} // namespace shallotdrift
