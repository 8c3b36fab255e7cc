#include "Model/Submission.h"

namespace trefoilwing {

Verdict verdictOf(const JobOutcome& outcome)
{
    const Error* error = errorOf(outcome);
    return error ? error->verdict : Verdict::Ran;
}

} // namespace trefoilwing
