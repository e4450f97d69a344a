#pragma once

#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace shallotdrift::standin {

// Appends one JSON object per line; a line is complete on disk before the call returns.
class Journal {
public:
    // An empty path keeps nothing.
    explicit Journal(const std::string& path);

    bool usable() const { return path_.empty() || file_.good(); }
    // Adds the member "time", Unix milliseconds.
    void write(nlohmann::json line);

private:
    std::string path_;
    std::mutex mutex_;
    std::ofstream file_;
};

} // namespace shallotdrift::standin
