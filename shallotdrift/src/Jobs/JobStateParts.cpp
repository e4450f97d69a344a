#include "JobStateParts.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace shallotdrift::internal {

using nlohmann::json;

// Columns of the header, one of which holds the rows, and of a row; see Job::encodeState().
static constexpr size_t statusColumn = 1;
static constexpr size_t placedColumn = 3;
static constexpr size_t openedColumn = 4;
static constexpr size_t closedColumn = 5;
static constexpr size_t rowsColumn = 7;
static constexpr size_t checkpointColumn = 7;
// An array of rows takes up to 5 bytes for its length, an empty one takes 1.
static constexpr size_t arrayLengthBytes = 4;

std::string toMessagePack(const json& value)
{
    std::string bytes;
    json::to_msgpack(value, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

std::vector<std::string> encodeParts(
    json header, json rows, const std::vector<uint32_t*>& partOfRow, size_t minimumCount, size_t maximumBytes)
{
    if (minimumCount <= 1) {
        header[rowsColumn] = std::move(rows);
        auto bytes = toMessagePack(header);
        if (bytes.size() <= maximumBytes)
            return { std::move(bytes) };
        rows = std::move(header[rowsColumn]);
    }
    header[rowsColumn] = json::array();
    auto headerBytes = toMessagePack(header).size() + arrayLengthBytes;
    auto room = maximumBytes - std::min(maximumBytes, headerBytes);
    std::vector<json> rowsOfParts(std::max<size_t>(1, minimumCount), json::array());
    std::vector<size_t> sizes(rowsOfParts.size());
    for (size_t i = 0; i < rows.size(); ++i) {
        auto& row = rows[i];
        auto size = toMessagePack(row).size();
        if (size > room) {
            row[checkpointColumn] = std::string();
            size = toMessagePack(row).size();
        }
        auto& part = *partOfRow[i];
        while (part < sizes.size() && sizes[part] + size > room && sizes[part] > 0)
            ++part;
        if (part >= sizes.size()) {
            sizes.resize(part + 1);
            rowsOfParts.resize(part + 1, json::array());
        }
        sizes[part] += size;
        rowsOfParts[part].push_back(std::move(row));
    }
    std::vector<std::string> parts;
    for (auto& rowsOfPart : rowsOfParts) {
        header[rowsColumn] = std::move(rowsOfPart);
        parts.push_back(toMessagePack(header));
    }
    return parts;
}

static auto progressOf(const json& header)
{
    return std::make_tuple(header.at(statusColumn).get<int>() != 0, header.at(closedColumn).get<uint32_t>(),
        header.at(openedColumn).get<uint32_t>(), header.at(placedColumn).get<bool>());
}

const json& latestHeader(const std::vector<json>& headers)
{
    return *std::max_element(headers.begin(), headers.end(),
        [](const json& left, const json& right) { return progressOf(left) < progressOf(right); });
}

} // namespace shallotdrift::internal
