// Runs the replay command without the other modules of the binary, for measurements of the policies.
// Usage: bench-ReplayBench (as "shallotdrift replay"), or bench-ReplayBench generate-trace ...
#include "shallotdrift/Replay.h"

#include <iostream>

int main(int argc, char** argv)
{
    std::vector<std::string> words(argv + 1, argv + argc);
    bool generating = !words.empty() && words.front() == "generate-trace";
    if (generating)
        words.erase(words.begin());
    return (generating ? shallotdrift::runGenerateCommand : shallotdrift::runReplayCommand)(words, std::cout, std::cerr)
        ? 1
        : 0;
}
