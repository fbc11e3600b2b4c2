#include "tool/Commands.h"

#include "tool/ExplainView.h"
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <iterator>

namespace limpetpond::tool {

namespace {

    boost::json::array jsonOf(const std::vector<LogLine>& lines)
    {
        boost::json::array array;
        for (const LogLine& line : lines)
            array.push_back(line.fields);
        return array;
    }

    Result<std::vector<LogLine>> readFiles(const std::vector<std::string>& arguments)
    {
        std::vector<LogLine> lines;
        for (std::size_t i = 1; i < arguments.size(); ++i) {
            std::ifstream file(arguments[i]);
            if (!file)
                return boost::leaf::new_error(UsageError { .detail = "the log \"" + arguments[i] + "\" can't be read" });
            std::vector<LogLine> more = readLogLines(file);
            lines.insert(lines.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
        }
        return lines;
    }

} // namespace

Result<ExitCode> runExplain(CommandContext& context, const std::vector<std::string>& arguments)
{
    if (arguments.size() < 2)
        return boost::leaf::new_error(UsageError { .detail = "explain takes a request's id and at least one log file" });
    BOOST_LEAF_AUTO(lines, readFiles(arguments));
    Explanation explanation = explain(lines, arguments.front());
    if (context.options.json) {
        context.out << boost::json::serialize(boost::json::object {
            { "request", arguments.front() }, { "cause", explanation.cause }, { "lines", jsonOf(explanation.requestLines) }, { "around", jsonOf(explanation.relatedLines) } })
                    << "\n";
    } else {
        context.out << explanationText(explanation);
    }
    if (!explanation.requestLines.empty())
        return ExitCode::Done;
    if (!context.options.json)
        context.out << "no line of these logs names the request " << arguments.front() << "\n";
    return ExitCode::Refused;
}

} // namespace limpetpond::tool
