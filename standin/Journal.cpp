#include "Journal.h"

#include "shallotdrift/Base.h"

namespace shallotdrift::standin {

Journal::Journal(const std::string& path)
    : path_(path)
{
    if (!path_.empty())
        file_.open(path_, std::ios::app);
}

void Journal::write(nlohmann::json line)
{
    if (path_.empty())
        return;
    line["time"] = unixMilliseconds(wallNow());
    std::lock_guard lock(mutex_);
    file_ << line.dump() + "\n" << std::flush;
}

} // namespace shallotdrift::standin
