#include "AccountKeys.h"

#include <algorithm>
#include <cstring>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdexcept>

namespace shallotdrift {

// The secret of this process, with which all digests are made.
static const std::array<unsigned char, 32>& digestSecret()
{
    static const auto secret = [] {
        std::array<unsigned char, 32> bytes {};
        if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
            throw std::runtime_error("no random bytes for the secret of key digests");
        return bytes;
    }();
    return secret;
}

AccountKeys::Digest AccountKeys::digestOf(std::string_view key)
{
    const auto& secret = digestSecret();
    Digest digest {};
    unsigned length = 0;
    if (!HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
            reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.data(), &length)
        || length != digest.size())
        throw std::runtime_error("a key could not be digested");
    return digest;
}

size_t AccountKeys::DigestHash::operator()(const Digest& digest) const
{
    size_t hash = 0;
    std::memcpy(&hash, digest.data(), sizeof(hash));
    return hash;
}

bool AccountKeys::EqualDigests::operator()(const Digest& left, const Digest& right) const
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

void AccountKeys::add(std::string_view key, const std::string& account)
{
    auto [entry, added] = accounts_.try_emplace(digestOf(key), account);
    if (added || entry->second.empty() || entry->second == account)
        return;
    entry->second.clear();
    ++ambiguousKeys_;
}

size_t AccountKeys::countOf(const std::string& account) const
{
    return static_cast<size_t>(
        std::count_if(accounts_.begin(), accounts_.end(), [&](const auto& entry) { return entry.second == account; }));
}

size_t AccountKeys::countMissingIn(const AccountKeys& other, const std::string& account) const
{
    return static_cast<size_t>(std::count_if(accounts_.begin(), accounts_.end(), [&](const auto& entry) {
        auto found = other.accounts_.find(entry.first);
        return entry.second == account && (found == other.accounts_.end() || found->second != account);
    }));
}

const std::string* AccountKeys::findAccount(std::string_view key) const
{
    auto found = accounts_.find(digestOf(key));
    return found == accounts_.end() || found->second.empty() ? nullptr : &found->second;
}

} // namespace shallotdrift
