#include <marigoldpaddle/ConfigurationState.h>

#include <algorithm>
#include <ranges>

#include <boost/leaf/handle_errors.hpp>

#include "base/Text.h"
#include "configuration/Checkpoint.h"

namespace marigoldpaddle {

namespace {

constexpr std::size_t MaximumSectionsPerHistoryEntry = 4;
constexpr std::size_t MaximumExplanationBytes = 1000;

ChangeResult accepted(std::uint64_t offset, const ConfigurationChange& change)
{
    return { change.id, true, {}, std::nullopt, offset };
}

// Explanations are part of the history in snapshots and checkpoints. All builds must produce the same text, since parts
// of one checkpoint may come from different instances.
ChangeResult refused(
    std::uint64_t offset, const ConfigurationChange& change, ConfigurationError error, std::string explanation)
{
    explanation.resize(truncateUtf8(explanation, MaximumExplanationBytes).size());
    return { change.id, false, std::move(explanation), error, offset };
}

// `subject` names a section, a preset or the preset in force; `verb` says what happened to it, e.g. "was changed".
std::string conflictText(
    std::string_view subject, std::string_view verb, std::uint64_t changedAt, std::uint64_t basedOn)
{
    return std::string { subject } + " " + std::string { verb } + " at revision " + std::to_string(changedAt)
        + "; this change is based on revision " + std::to_string(basedOn);
}

}

ChangeResult ConfigurationState::apply(std::uint64_t offset, std::string_view record)
{
    if (offset != this->next)
        return {};
    this->next = offset + 1;
    if (isCheckpointPart(record))
        return {};
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<ChangeResult> {
            BOOST_LEAF_AUTO(change, decodeChange(record));
            if (const auto previous = this->findResult(change.id))
                return *previous;
            auto verdict = this->evaluate(offset, change);
            this->appendToHistory(change, verdict);
            return verdict;
        },
        [&] { return refused(offset, {}, ConfigurationError::MalformedRecord, "the record cannot be read"); });
}

ChangeResult ConfigurationState::evaluate(std::uint64_t offset, const ConfigurationChange& change)
{
    if (change.basedOn > offset)
        return refused(offset, change, ConfigurationError::MalformedRecord,
            "it is based on revision " + std::to_string(change.basedOn) + ", which lies beyond its own offset "
                + std::to_string(offset));
    switch (change.kind) {
    case ConfigurationChangeKind::Edit:
        return this->evaluateEdit(offset, change);
    case ConfigurationChangeKind::Use:
        return this->evaluateUse(offset, change);
    case ConfigurationChangeKind::Delete:
        return this->evaluateDelete(offset, change);
    }
    return {};
}

ChangeResult ConfigurationState::evaluateEdit(std::uint64_t offset, const ConfigurationChange& change)
{
    if (change.sections.empty())
        return refused(offset, change, ConfigurationError::InvalidPreset, "the edit names no section");
    for (const auto& section : std::views::keys(change.sections)) {
        auto conflict = this->sectionConflict(change, section);
        if (!conflict.empty())
            return refused(offset, change, ConfigurationError::Conflict, std::move(conflict));
    }
    const auto existing = this->preset(change.preset);
    const auto& previous = this->presetsByName[change.preset]; // A reference: it may hold thousands of sections.
    auto problem = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_AUTO(base, existing ? *existing : makePreset(change.preset, {}, change.preset));
            BOOST_LEAF_AUTO(changed, changePreset(base, previous, change.sections, change.preset));
            this->typedPresetsByName[change.preset] = std::make_shared<const Preset>(std::move(changed));
            return std::string {};
        },
        [](const PresetProblem& fault) { return fault.message; }, [] { return std::string { "invalid preset" }; });
    if (!problem.empty() && !existing)
        this->presetsByName.erase(change.preset);
    if (!problem.empty())
        return refused(offset, change, ConfigurationError::InvalidPreset, std::move(problem));
    this->applySections(offset, change);
    return accepted(offset, change);
}

ChangeResult ConfigurationState::evaluateUse(std::uint64_t offset, const ConfigurationChange& change)
{
    if (!this->presetsByName.contains(change.preset))
        return refused(
            offset, change, ConfigurationError::UnknownPreset, this->missingPresetExplanation(change.preset));
    if (this->inForce == change.preset)
        return accepted(offset, change);
    if (!this->inForce.empty() && this->inForceSince >= change.basedOn)
        return refused(offset, change, ConfigurationError::Conflict,
            conflictText("the preset in force", "was set to " + this->inForce, this->inForceSince, change.basedOn));
    this->inForce = change.preset;
    this->inForceSince = offset;
    return accepted(offset, change);
}

ChangeResult ConfigurationState::evaluateDelete(std::uint64_t offset, const ConfigurationChange& change)
{
    if (!this->presetsByName.contains(change.preset))
        return refused(
            offset, change, ConfigurationError::UnknownPreset, this->missingPresetExplanation(change.preset));
    if (this->inForce == change.preset)
        return refused(offset, change, ConfigurationError::PresetInForce,
            "preset " + change.preset + " is in force since revision " + std::to_string(this->inForceSince));
    const auto revisions = this->revisionsByName.find(change.preset);
    if (revisions->second.last >= change.basedOn)
        return refused(offset, change, ConfigurationError::Conflict,
            conflictText("preset " + change.preset, "was changed", revisions->second.last, change.basedOn));
    this->presetsByName.erase(change.preset);
    this->typedPresetsByName.erase(change.preset);
    this->revisionsByName.erase(revisions);
    this->recordRemoval({ offset, change.preset, {} });
    return accepted(offset, change);
}

std::string ConfigurationState::sectionConflict(const ConfigurationChange& change, std::string_view section) const
{
    const auto subject = "section [" + std::string { section } + "] of preset " + change.preset;
    if (const auto revision = this->revisionOf(change.preset, section))
        return *revision < change.basedOn ? std::string {}
                                          : conflictText(subject, "was changed", *revision, change.basedOn);
    const auto removal = std::ranges::find_if(std::views::reverse(this->removals), [&](const auto& each) {
        return each.offset < change.basedOn
            || (each.preset == change.preset && (each.section.empty() || each.section == section));
    });
    if (removal != this->removals.rend() && removal->offset >= change.basedOn)
        return conflictText(subject, removal->section.empty() ? "was deleted with its preset" : "was removed",
            removal->offset, change.basedOn);
    if (change.basedOn < this->removalFloor)
        return conflictText(subject, "may have been removed", this->removalFloor - 1, change.basedOn);
    return {};
}

std::string ConfigurationState::missingPresetExplanation(std::string_view name) const
{
    const auto removal = std::ranges::find_if(std::views::reverse(this->removals),
        [&](const auto& each) { return each.preset == name && each.section.empty(); });
    const auto missing = "there is no preset " + std::string { name };
    return removal == this->removals.rend()
        ? missing
        : missing + ": it was deleted at revision " + std::to_string(removal->offset);
}

void ConfigurationState::applySections(std::uint64_t offset, const ConfigurationChange& change)
{
    auto& sections = this->presetsByName[change.preset];
    auto& revisions = this->revisionsByName[change.preset];
    revisions.last = offset;
    for (const auto& [name, section] : change.sections) {
        if (section) {
            sections[name] = *section;
            revisions.sections[name] = offset;
        } else {
            sections.erase(name);
            revisions.sections.erase(name);
            this->recordRemoval({ offset, change.preset, name });
        }
    }
}

void ConfigurationState::recordRemoval(Removal removal)
{
    this->removals.push_back(std::move(removal));
    if (this->removals.size() <= MaximumRemovals)
        return;
    this->removalFloor = this->removals.front().offset + 1;
    this->removals.pop_front();
}

void ConfigurationState::appendToHistory(const ConfigurationChange& change, const ChangeResult& verdict)
{
    HistoryEntry entry { verdict, change.kind, change.preset, {}, change.sections.size() };
    std::ranges::copy(change.sections | std::views::keys | std::views::take(MaximumSectionsPerHistoryEntry),
        std::back_inserter(entry.sections));
    this->historyEntries.push_back(std::move(entry));
    if (this->historyEntries.size() > MaximumHistoryEntries)
        this->historyEntries.pop_front();
}

void ConfigurationState::skipTo(std::uint64_t offset)
{
    if (offset <= this->next)
        return;
    this->next = offset;
    // The skipped records may have removed any section: an edit of an absent section is refused if it is based on a
    // revision before `offset`.
    this->removalFloor = offset;
}

std::uint64_t ConfigurationState::nextOffset() const
{
    return this->next;
}

std::shared_ptr<const Preset> ConfigurationState::presetInForce() const
{
    return this->preset(this->inForce);
}

std::uint64_t ConfigurationState::putInForceAt() const
{
    return this->inForceSince;
}

const std::string& ConfigurationState::nameInForce() const
{
    return this->inForce;
}

const std::map<std::string, PresetSections, std::less<>>& ConfigurationState::presets() const
{
    return this->presetsByName;
}

std::shared_ptr<const Preset> ConfigurationState::preset(std::string_view name) const
{
    const auto found = this->typedPresetsByName.find(name);
    return found == this->typedPresetsByName.end() ? nullptr : found->second;
}

std::optional<std::uint64_t> ConfigurationState::revisionOf(std::string_view preset, std::string_view section) const
{
    const auto revisions = this->revisionsByName.find(preset);
    if (revisions == this->revisionsByName.end())
        return std::nullopt;
    const auto found = revisions->second.sections.find(section);
    return found == revisions->second.sections.end() ? std::nullopt : std::optional { found->second };
}

const std::deque<HistoryEntry>& ConfigurationState::history() const
{
    return this->historyEntries;
}

std::optional<ChangeResult> ConfigurationState::findResult(std::string_view id) const
{
    const auto found = std::ranges::find_if(
        std::views::reverse(this->historyEntries), [&](const auto& each) { return each.verdict.id == id; });
    return found == this->historyEntries.rend() ? std::nullopt : std::optional { found->verdict };
}

}
