// Plays one case of the review against the project's own programs.
// Usage: standin CASE PROGRAM FOLDER RECORD; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

#include "Cases.h"

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

int main(int argc, char** argv)
{
    const std::map<std::string, int (*)(const review::CaseInput&)> cases { { "cancel", review::playCancel }, { "leave", review::playLeave }, { "lease", review::playLease }, { "disk", review::playDisk }, { "register", review::playRegister } };
    if (argc != 5 || !cases.contains(argv[1])) {
        std::cerr << "usage: standin CASE PROGRAM FOLDER RECORD\n";
        return 2;
    }
    const char* trouble = std::getenv("TROUBLE");
    review::Record record(argv[4]);
    const review::CaseInput input { argv[2], argv[3], !trouble || std::string(trouble) != "0", record };
    const int result = cases.at(argv[1])(input);
    record.write(result == 0 ? "the rule held" : result == 1 ? "the rule was broken"
                                                             : "the case couldn't run");
    std::cout << argv[1] << ": " << result << "\n";
    return result;
}
