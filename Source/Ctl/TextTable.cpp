#include "Ctl/TextTable.h"

#include <algorithm>

namespace trefoilwing {

TextTable::TextTable(std::vector<std::string> headings)
{
    rows_.push_back(std::move(headings));
}

void TextTable::add(std::vector<std::string> cells)
{
    cells.resize(rows_.front().size());
    rows_.push_back(std::move(cells));
}

std::ostream& operator<<(std::ostream& out, const TextTable& table)
{
    std::vector<size_t> widths(table.rows_.front().size());
    for (const std::vector<std::string>& row : table.rows_) {
        for (size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const std::vector<std::string>& row : table.rows_) {
        std::string line;
        for (size_t i = 0; i < row.size(); ++i)
            line.append(row[i]).append(widths[i] - row[i].size() + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << "\n";
    }
    return out;
}

} // namespace trefoilwing
