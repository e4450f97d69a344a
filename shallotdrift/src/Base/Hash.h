#pragma once

#include <cstdint>
#include <string_view>

namespace shallotdrift {

// XXH64 of the bytes with seed 0: every process computes the same value.
uint64_t hash64(std::string_view bytes);

} // namespace shallotdrift
