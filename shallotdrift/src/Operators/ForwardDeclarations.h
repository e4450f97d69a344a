#pragma once

namespace shallotdrift {

class OperatorBackend;
class OperatorRequestHandler;
class OperatorServer;
struct OperatorCommandOptions;
struct OperatorServerOptions;

namespace internal {
    class CommandArguments;
    class Handbook;
    class OperatorClient;
    class TextTable;
} // namespace internal

} // namespace shallotdrift
