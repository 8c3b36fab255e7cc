#include "Base/Error.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(Error) {};

TEST(Error, EveryVerdictHasItsName)
{
    CHECK(verdictName(Verdict::NotRun) == "not run");
    CHECK(verdictName(Verdict::Ran) == "ran");
    CHECK(verdictName(Verdict::MayHaveRun) == "may have run");
}

TEST(Error, TheFirstAndLastCodesHaveTheirNames)
{
    CHECK(errorCodeName(ErrorCode::Malformed) == "malformed");
    CHECK(errorCodeName(ErrorCode::Internal) == "internal");
}
