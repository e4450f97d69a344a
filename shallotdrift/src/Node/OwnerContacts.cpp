#include "OwnerContacts.h"

namespace shallotdrift::internal {

void OwnerContacts::onSent(const std::string& owner, Instant now)
{
    auto& contact = contacts_[owner];
    ++contact.openRequests;
    if (!contact.silentSince)
        contact.silentSince = now;
}

void OwnerContacts::onResponse(const std::string& owner, Instant now)
{
    auto contact = contacts_.find(owner);
    if (contact == contacts_.end())
        return;
    if (contact->second.openRequests > 1) {
        --contact->second.openRequests;
        contact->second.silentSince = now;
    } else
        contacts_.erase(contact);
}

void OwnerContacts::onNoResponse(const std::string& owner)
{
    auto contact = contacts_.find(owner);
    if (contact != contacts_.end() && contact->second.openRequests > 0)
        --contact->second.openRequests;
}

bool OwnerContacts::isSilent(const std::string& owner, Instant now) const
{
    auto contact = contacts_.find(owner);
    return contact != contacts_.end() && contact->second.silentSince
        && now - *contact->second.silentSince > silenceLimit_;
}

} // namespace shallotdrift::internal
