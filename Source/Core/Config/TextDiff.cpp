#include "Config/TextDiff.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace {

// Cells of the longest-common-subsequence table, the product of both line
// counts. Larger texts are shown as replaced between their common first and
// last lines.
constexpr std::size_t kMaxCells = 4'000'000;

struct diff_line
{
  char mMark;
  std::string_view mText;
};

using line_list = std::vector<std::string_view>;

line_list SplitLines(std::string_view aText)
{
  line_list lines;
  while (!aText.empty()) {
    const std::size_t end = aText.find('\n');
    lines.push_back(aText.substr(0, end));
    aText = end == std::string_view::npos ? "" : aText.substr(end + 1);
  }
  return lines;
}

/// Appends the difference of two texts, without their common first and last
/// lines, by their longest common subsequence.
void AppendDifference(const line_list& aOld,
                      const line_list& aNew,
                      std::vector<diff_line>& aLines)
{
  const std::size_t rows = aOld.size();
  const std::size_t columns = aNew.size();
  const bool withinLimit = (rows + 1) * (columns + 1) <= kMaxCells;
  std::vector<std::uint32_t> common(withinLimit ? (rows + 1) * (columns + 1)
                                                : 0);
  const auto cell = [&common, columns](std::size_t aRow,
                                       std::size_t aColumn) -> std::uint32_t& {
    return common[aRow * (columns + 1) + aColumn];
  };
  for (std::size_t i = withinLimit ? rows : 0; i-- > 0;) {
    for (std::size_t j = columns; j-- > 0;) {
      cell(i, j) = aOld[i] == aNew[j]
                     ? cell(i + 1, j + 1) + 1
                     : std::max(cell(i + 1, j), cell(i, j + 1));
    }
  }
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < rows || j < columns) {
    if (withinLimit && i < rows && j < columns && aOld[i] == aNew[j]) {
      aLines.push_back({ ' ', aOld[i] });
      ++i;
      ++j;
    } else if (i < rows && (j == columns || !withinLimit ||
                            cell(i + 1, j) >= cell(i, j + 1))) {
      aLines.push_back({ '-', aOld[i] });
      ++i;
    } else {
      aLines.push_back({ '+', aNew[j] });
      ++j;
    }
  }
}

bool IsNearChange(const std::vector<diff_line>& aLines,
                  std::size_t aIndex,
                  std::size_t aContext)
{
  const std::size_t first = aIndex > aContext ? aIndex - aContext : 0;
  const std::size_t last = std::min(aIndex + aContext + 1, aLines.size());
  for (std::size_t i = first; i < last; ++i) {
    if (aLines[i].mMark != ' ') {
      return true;
    }
  }
  return false;
}

} // namespace

std::string DiffText(std::string_view aOld, std::string_view aNew, int aContext)
{
  line_list oldLines = SplitLines(aOld);
  line_list newLines = SplitLines(aNew);
  const auto firstDifference = std::ranges::mismatch(oldLines, newLines);
  std::vector<diff_line> lines;
  for (auto line = oldLines.begin(); line != firstDifference.in1; ++line) {
    lines.push_back({ ' ', *line });
  }
  oldLines.erase(oldLines.begin(), firstDifference.in1);
  newLines.erase(newLines.begin(), firstDifference.in2);
  line_list commonTail;
  while (!oldLines.empty() && !newLines.empty() &&
         oldLines.back() == newLines.back()) {
    commonTail.push_back(oldLines.back());
    oldLines.pop_back();
    newLines.pop_back();
  }
  AppendDifference(oldLines, newLines, lines);
  for (auto line = commonTail.rbegin(); line != commonTail.rend(); ++line) {
    lines.push_back({ ' ', *line });
  }
  std::string text;
  for (std::size_t i = 0; i < lines.size(); ++i) {
    if (IsNearChange(lines, i, static_cast<std::size_t>(aContext))) {
      text.push_back(lines[i].mMark);
      text.append(lines[i].mText);
      text.push_back('\n');
    }
  }
  return text;
}
