#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace shallotdrift {

// The keys of client accounts. Holds digests only, made with a secret that each process draws at its start, so that
// neither a dump of the memory nor the time of a look-up tells anything about a key.
class AccountKeys {
public:
    // A key that is added for two accounts identifies neither.
    void add(std::string_view key, const std::string& account);
    // Name of the account that the key belongs to; null if there is none.
    const std::string* findAccount(std::string_view key) const;

    size_t size() const { return accounts_.size(); }
    size_t countOf(const std::string& account) const;
    // Number of keys that belong to the account here, but not there.
    size_t countMissingIn(const AccountKeys& other, const std::string& account) const;
    size_t ambiguousKeys() const { return ambiguousKeys_; }

private:
    using Digest = std::array<unsigned char, 32>;
    struct DigestHash {
        size_t operator()(const Digest&) const;
    };
    struct EqualDigests { // compares in constant time
        bool operator()(const Digest&, const Digest&) const;
    };
    static Digest digestOf(std::string_view key);

    std::unordered_map<Digest, std::string, DigestHash, EqualDigests> accounts_; // empty name: ambiguous
    size_t ambiguousKeys_ = 0;
};

} // namespace shallotdrift
