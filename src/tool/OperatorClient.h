#pragma once

/// Calls of the tool to instances, with the next one tried when one can't be reached.

#include "gen/OperatorService.h"
#include "tool/CommandLine.h"
#include <functional>
#include <string>
#include <vector>

namespace limpetpond::tool {

/// No instance answered.
struct Unreachable {
    std::string detail; ///< The addresses that were tried and why each failed.
};

/// The change may have taken effect.
struct ChangeOutcomeUnknown {
    std::string changeId;
    std::string detail;
};

/// Asks instances in the order of `--instances`. Errors of every call: rpc::OperatorRefused, Unreachable.
class OperatorClient {
public:
    explicit OperatorClient(const ToolOptions&);

    Result<std::string> tree(const std::string& path);
    Result<std::vector<rpc::ExplainedValue>> explain(const std::string& path);
    Result<std::vector<rpc::SettingsChange>> history(std::int64_t after);
    Result<rpc::TargetStatus> targetStatus(const std::string& target);

    /// Sends a change. When an answer is lost it is sent again, with the same change id, so it is
    /// accepted at most once. Errors also: ChangeOutcomeUnknown.
    Result<rpc::ChangeReply> change(const rpc::ChangeRequest&);

    /// Asks one instance, the first of `--instances`, to bring the table service back up.
    Result<rpc::ChangeReply> raiseStore(const std::string& changeId);

    /// What one instance says; only that one is asked.
    Result<std::string> statusOf(const Address&);
    Result<std::vector<rpc::TimelineEvent>> timelineOf(const Address&, const std::string& request);

private:
    using Call = std::function<void(rpc::OperatorServiceClient&)>;
    enum class Attempt {
        Done,
        NotSent,
        NoAnswer,
    };

    Result<Attempt> callOne(const Address&, const Call&, std::string& detail);
    Result<void> callAny(const Call&);
    Result<void> callOnly(const Address&, const Call&);

    const ToolOptions& m_options;
};

/// A change id that no other change has.
std::string newChangeId();

} // namespace limpetpond::tool
