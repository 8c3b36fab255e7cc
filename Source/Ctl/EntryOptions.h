#pragma once

#include "Ctl/CommandLine.h"
#include "Ctl/OperatorLink.h"

#include <memory>
#include <vector>

namespace trefoilwing {

/// @return the options that select the daemons a command connects to.
std::vector<Option> entryOptions();

/// @return the HTTP endpoints of the selected daemons: those given by --entry and those listed in the --settings file.
Result<std::vector<Endpoint>> entryEndpoints(const CommandLine&);

/// @return a link to each selected daemon.
Result<std::vector<std::unique_ptr<OperatorLink>>> entryLinks(const CommandLine&, const OperatorLinkFactory&);

/// Makes the call at one daemon after the other until one answers.
/// @param call must be safe to repeat at several daemons.
/// @return the first answer that isn't Lost or Unavailable, or the last error.
template <typename Call>
auto callFirstAvailable(const std::vector<std::unique_ptr<OperatorLink>>& links, Call call) -> decltype(call(*links.front()))
{
    decltype(call(*links.front())) answer = Error { ErrorCode::Lost, "no daemon was named", Verdict::NotRun };
    Verdict verdict = Verdict::NotRun;
    for (const std::unique_ptr<OperatorLink>& link : links) {
        answer = call(*link);
        const Error* error = errorOf(answer);
        if (!error || (error->code != ErrorCode::Lost && error->code != ErrorCode::Unavailable))
            return answer;
        // The last daemon may not have run the call, but an earlier one may have.
        if (error->verdict == Verdict::MayHaveRun)
            verdict = Verdict::MayHaveRun;
    }
    std::get<Error>(answer).verdict = verdict;
    return answer;
}

} // namespace trefoilwing
