#include "core/ControlStatus.h"

namespace limpetpond {

std::string_view toString(AlarmKind kind)
{
    switch (kind) {
    case AlarmKind::SettingsRolledBack:
        return "settings_went_back";
    case AlarmKind::CutOff:
        return "cut_off";
    case AlarmKind::StoreUnavailable:
        return "store_unavailable";
    case AlarmKind::CleaningWindowMissed:
        return "cleaning_window_missed";
    case AlarmKind::InvariantViolated:
        return "invariant_violated";
    }
    return "unknown";
}

std::string_view toString(MemberState state)
{
    switch (state) {
    case MemberState::Live:
        return "live";
    case MemberState::Suspected:
        return "suspected";
    case MemberState::Departed:
        return "departed";
    }
    return "unknown";
}

} // namespace limpetpond
