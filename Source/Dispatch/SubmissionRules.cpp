#include "Dispatch/SubmissionRules.h"

#include "Base/StableHash.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace trefoilwing {

namespace {

    constexpr size_t maxCallerKeyBytes = 200;

    Error notRunError(ErrorCode code, std::string message)
    {
        return Error { code, std::move(message), Verdict::NotRun };
    }

    Result<Done> checkTasks(const ServiceDeclaration& declaration, const Submission& submission)
    {
        if (submission.tasks.empty())
            return notRunError(ErrorCode::Malformed, "A submission needs at least one task.");
        if (submission.tasks.size() > declaration.maxTasks)
            return notRunError(ErrorCode::TooLarge, absl::StrCat("The submission has ", submission.tasks.size(), " tasks; service ", declaration.service.value(), " allows ", declaration.maxTasks, ". Split it."));
        for (size_t index = 0; index < submission.tasks.size(); ++index) {
            const TaskSpec& task = submission.tasks[index];
            if (!findKind(declaration, task.kind))
                return notRunError(ErrorCode::UnknownTaskKind, absl::StrCat("Task ", index, " is of kind '", task.kind.value(), "', which service ", declaration.service.value(), " doesn't declare."));
            if (task.payload.size() > declaration.maxPayload.value())
                return notRunError(ErrorCode::TooLarge, absl::StrCat("The payload of task ", index, " has ", task.payload.size(), " bytes; service ", declaration.service.value(), " allows ", declaration.maxPayload.value(), "."));
        }
        return Done {};
    }

} // namespace

Result<Done> checkSubmission(const ServiceDeclaration* declaration, const Submission& submission)
{
    if (!declaration)
        return notRunError(ErrorCode::UnknownService, absl::StrCat("Service '", submission.id.service.value(), "' isn't declared; publish its declaration first."));
    if (!findBacker(*declaration, submission.id.backer))
        return notRunError(ErrorCode::UnknownBacker, absl::StrCat("Backer '", submission.id.backer.value(), "' isn't declared for service ", declaration->service.value(), "."));
    if (submission.id.key.value().empty() || submission.id.key.value().size() > maxCallerKeyBytes)
        return notRunError(ErrorCode::Malformed, absl::StrCat("The id must have 1 to ", maxCallerKeyBytes, " bytes."));
    return checkTasks(*declaration, submission);
}

void applyDefaultDeadline(const ServiceDeclaration* declaration, Submission& submission, absl::Time now)
{
    if (declaration && submission.deadline == absl::InfiniteFuture())
        submission.deadline = now + declaration->defaultDeadline;
}

const BackerDeclaration* findBacker(const ServiceDeclaration& declaration, const BackerId& backer)
{
    const auto found = std::find_if(declaration.backers.begin(), declaration.backers.end(), [&](const BackerDeclaration& each) { return each.backer == backer; });
    return found == declaration.backers.end() ? nullptr : &*found;
}

const TaskKindDeclaration* findKind(const ServiceDeclaration& declaration, const TaskKindId& kind)
{
    const auto found = std::find_if(declaration.kinds.begin(), declaration.kinds.end(), [&](const TaskKindDeclaration& each) { return each.kind == kind; });
    return found == declaration.kinds.end() ? nullptr : &*found;
}

Error conflictError()
{
    return notRunError(ErrorCode::Conflict, "Another submission with the same id and other content was taken before; use a new id.");
}

Digest digestOf(const Submission& submission)
{
    // Each text is prefixed with its length, so that different task lists never produce the same bytes.
    std::string bytes = absl::StrCat(submission.isIdempotent ? 1 : 0, ";");
    for (const TaskSpec& task : submission.tasks)
        absl::StrAppend(&bytes, task.kind.value().size(), ":", task.kind.value(), task.payload.size(), ":", task.payload);
    return Digest { stableHash(bytes) };
}

} // namespace trefoilwing
