/// Fuzzes the platform's instance list.

#include "store/InstanceList.h"
#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace limpetpond;

// The name is libFuzzer's.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(list, parseInstanceList(text, "peer"));
            for (const ListedInstance& instance : list.instances) {
                if (instance.instance.isEmpty())
                    std::abort();
            }
            return {};
        },
        [] {});
    return 0;
}
