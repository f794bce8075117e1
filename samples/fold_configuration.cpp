// Two operators change the same preset concurrently. Every reader applies the records of the log in the same order, so
// that all readers accept and refuse the same changes. The second change is refused, since it is based on a revision
// that is out of date.
#include <iostream>

#include <marigoldpaddle/ConfigurationState.h>

using namespace marigoldpaddle;

namespace {

ConfigurationChange edit(const char* id, std::uint64_t basedOn, const char* allowedMs)
{
    ConfigurationChange change;
    change.id = id;
    change.preset = "ordinary";
    change.basedOn = basedOn;
    change.sections["limits"] = PresetSection { { "default_allowed_ms", allowedMs } };
    return change;
}

void print(const ChangeResult& verdict)
{
    std::cout << verdict.id << ": " << (verdict.isAccepted ? "accepted" : "refused, " + verdict.explanation) << '\n';
}

}

int main()
{
    ConfigurationState state;
    print(state.apply(0, encodeChange(edit("first", 0, "30000"))));

    // Both operators base their change on revision 1.
    print(state.apply(1, encodeChange(edit("from the depot", 1, "20000"))));
    print(state.apply(2, encodeChange(edit("from the office", 1, "40000"))));

    ConfigurationChange use;
    use.id = "use";
    use.kind = ConfigurationChangeKind::Use;
    use.preset = "ordinary";
    use.basedOn = state.nextOffset();
    print(state.apply(3, encodeChange(use)));
    const auto allowed
        = std::chrono::duration_cast<std::chrono::milliseconds>(state.presetInForce()->defaultAllowedTime);
    std::cout << "in force: " << state.nameInForce() << ", default allowed time " << allowed.count() << " ms\n";
}
