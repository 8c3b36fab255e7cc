#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace trefoilwing {

/// A table printed as plain text with aligned columns.
class TextTable {
public:
    explicit TextTable(std::vector<std::string> headings);

    void add(std::vector<std::string> cells);

    friend std::ostream& operator<<(std::ostream&, const TextTable&);

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace trefoilwing
