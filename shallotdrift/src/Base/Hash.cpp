#include "Hash.h"

#include <xxhash.h>

namespace shallotdrift {

uint64_t hash64(std::string_view bytes) { return XXH64(bytes.data(), bytes.size(), 0); }

} // namespace shallotdrift
