#pragma once

namespace shallotdrift {

class OperatorBackend;
class OperatorDesk;
class OperatorServer;
struct OperatorCommandOptions;
struct OperatorServerOptions;

namespace internal {
    class CommandWords;
    class HandbookShelf;
    class OperatorClient;
    class TextTable;
} // namespace internal

} // namespace shallotdrift
