#pragma once

/// Calls from the tool to instances; a call that fails on one instance goes to the next.

#include "gen/OperatorService.h"
#include "tool/CommandLine.h"
#include <functional>
#include <string>
#include <vector>

namespace limpetpond::tool {

/// No instance that was called answered.
struct Unreachable {
    std::string detail; ///< The addresses that were called and why each call failed.
};

/// No answer tells whether the change was accepted.
struct ChangeOutcomeUnknown {
    std::string changeId;
    std::string detail;
};

/// Calls instances in the order of `--instances`. Errors of every call: rpc::OperatorRefused, Unreachable.
class OperatorClient {
public:
    explicit OperatorClient(const ToolOptions&);

    Result<std::string> tree(const std::string& path);
    Result<std::vector<rpc::ExplainedValue>> explain(const std::string& path);
    Result<std::vector<rpc::SettingsChange>> history(std::int64_t after);
    Result<rpc::TargetStatus> targetStatus(const std::string& target);

    /// Sends a change. If an answer is lost, the change is sent to the next instance with the same
    /// change id, by which it is accepted at most once. Errors also: ChangeOutcomeUnknown.
    Result<rpc::ChangeReply> change(const rpc::ChangeRequest&);

    /// Has the first of `--instances` write the settings in force to a table service that was restored to an
    /// older state.
    Result<rpc::ChangeReply> raiseStore(const std::string& changeId);

    /// The status or events of one instance; no other instance is called.
    Result<std::string> statusOf(const Address&);
    Result<std::vector<rpc::TimelineEvent>> timelineOf(const Address&, const std::string& request);

private:
    using Call = std::function<void(rpc::OperatorServiceClient&)>;
    enum class Attempt {
        Done,
        NotSent,
        NoAnswer,
    };

    Result<Attempt> tryCall(const Address&, const Call&, std::string& detail);
    Result<void> callFirstAvailable(const Call&);
    Result<void> callInstance(const Address&, const Call&);

    const ToolOptions& m_options;
};

/// A new random change id.
std::string newChangeId();

} // namespace limpetpond::tool
