#include "SettingsFile.h"

#include <fstream>

namespace shallotdrift {

Result<std::string> readSettingsFile(const std::string& path)
{
    // One byte above the limit of the parsers: enough for them to reject a longer file, which is not read as a whole.
    static constexpr size_t maximumReadBytes = (256 << 10) + 1;
    std::ifstream file(path, std::ios::binary);
    std::string text(maximumReadBytes, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!file.is_open() || file.bad())
        return fail(ResultCode::InvalidSettings, path + ":1: the file cannot be read");
    text.resize(static_cast<size_t>(file.gcount()));
    return text;
}

} // namespace shallotdrift
