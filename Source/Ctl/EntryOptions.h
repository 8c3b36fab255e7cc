#pragma once

#include "Ctl/CommandLine.h"
#include "Ctl/OperatorLink.h"

#include <memory>
#include <vector>

namespace trefoilwing {

/// The options that say which daemons a command speaks to.
std::vector<Option> entryOptions();

/// @return the daemons' HTTP endpoints: those of --entry, or all of --settings.
Result<std::vector<Endpoint>> entryEndpoints(const CommandLine&);

/// @return a link to each of these daemons.
Result<std::vector<std::unique_ptr<OperatorLink>>> entryLinks(const CommandLine&, const OperatorLinkFactory&);

/// Asks the daemons one after the other until one answers.
/// @param call may be made at several daemons.
/// @return the first answer that isn't Lost or Unavailable, or the last error.
template <typename Call>
auto askFirst(const std::vector<std::unique_ptr<OperatorLink>>& links, Call call) -> decltype(call(*links.front()))
{
    decltype(call(*links.front())) answer = Error { ErrorCode::Lost, "no daemon was named", Verdict::NotRun };
    Verdict verdict = Verdict::NotRun;
    for (const std::unique_ptr<OperatorLink>& link : links) {
        answer = call(*link);
        const Error* error = errorOf(answer);
        if (!error || (error->code != ErrorCode::Lost && error->code != ErrorCode::Unavailable))
            return answer;
        // An earlier daemon may have taken what a later one didn't.
        if (error->verdict == Verdict::MayHaveRun)
            verdict = Verdict::MayHaveRun;
    }
    std::get<Error>(answer).verdict = verdict;
    return answer;
}

} // namespace trefoilwing
