"""Disable safeguards one at a time and check that a test then fails.

Usage: python -m tools.mutations [NAME ...]

Each mutation edits a scratch copy of the sources and runs the named tests
against it. A mutation that passes means that no test covers the safeguard.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

import attrs

_ROOT = Path(__file__).parent.parent
_COPIED_FOLDERS = ('src', 'tests', 'tools', 'examples')
_OUTPUT_LINES = 3
# Only a failed assertion counts: an error does not show a broken guarantee.
_FAILURE_PREFIX = '\nFAIL: '


@attrs.frozen
class Mutation:
    """An edit that disables a safeguard, and the test that must then fail."""

    name: str
    file: str
    original: str
    replacement: str
    test: str


_LAPSED = 'tests.unit.test_lapsed_replicas'
_RANDOM_FAULTS = (
    'tests.unit.test_grouping_faults.GroupingFaultsTest'
    '.test_no_overlap_and_no_partial_replica'
)
_SURPLUS_RESPONSES = 'tests.unit.test_surplus_responses.SurplusResponseTest'
_LIMIT_SHARES = 'tests.unit.test_limit_shares'
_COLD_TARGETS = 'tests.unit.test_cold_targets'
_RESTORED_STORE = 'tests.platform.test_restored_store.RestoredStoreTest'
_RESTORED_RECORDS = 'tests.unit.test_restored_records.RestoredRecordsTest'
_ROW_VERSIONS = 'tests.platform.test_row_versions.RowVersionsTest'
_HANDOVER = 'tests.unit.test_handover.HandoverTest'
_BUFFERED_RESPONSES = 'tests.unit.test_forwarding.BufferedResponseTest'

MUTATIONS = (
    Mutation(
        'requests-not-claimed',
        'client_api/_gateway.py',
        'if call.repeatable or not call.idempotency_key:',
        'if call:',
        'tests.functional.test_at_most_once.AtMostOnceTest'
        '.test_concurrent_duplicates_at_two_nodes',
    ),
    Mutation(
        'claims-of-others-overwritten',
        'claims/_claims.py',
        'case ClaimState.NOT_RUN:',
        'case ClaimState.NOT_RUN | ClaimState.CLAIMED:',
        'tests.functional.test_at_most_once.AtMostOnceTest'
        '.test_crash_of_the_sending_node',
    ),
    Mutation(
        'claims-released-when-unknown',
        'client_api/_gateway.py',
        'error.execution is Execution.NOT_RUN',
        'error.execution is not None',
        'tests.functional.test_at_most_once.AtMostOnceTest'
        '.test_lost_response_of_the_service',
    ),
    Mutation(
        'incomplete-replicas-used',
        'targets/_complete_replicas.py',
        'ready == set(members)',
        'members[0] in ready',
        'tests.functional.test_replicas.ReplicasTest'
        '.test_member_crash_during_platform_outage',
    ),
    Mutation(
        'lease-taken-before-expiry',
        'leases/_lease.py',
        'return self._clock() - self._last_row_at > wait',
        'return True',
        'tests.unit.test_lease',
    ),
    Mutation(
        'reports-of-former-probers-kept',
        'targets/_observations.py',
        'self._observations.pop(node_id, None)',
        'self._observations.get(node_id)',
        'tests.unit.test_replica_reports',
    ),
    Mutation(
        'older-config-versions-applied',
        'rollout/_active_config.py',
        'release.version <= self._release.version',
        'release == self._release',
        'tests.unit.test_rollout',
    ),
    Mutation(
        'config-checksums-not-compared',
        'rollout/_active_config.py',
        'hashlib.sha256(encoded).hexdigest() != release.sha256',
        'not encoded',
        'tests.unit.test_rollout',
    ),
    Mutation(
        'draining-status-ignored',
        'targets/_complete_replicas.py',
        'and not report.draining',
        '',
        'tests.functional.test_planned_shutdown.PlannedShutdownTest'
        '.test_engine_reports_that_it_leaves',
    ),
    Mutation(
        'engine-responses-to-other-requests-accepted',
        'targets/_engine.py',
        "if head.headers.get('x-request-id') != call.request_id:",
        'if not head:',
        'tests.functional.test_swapped_responses',
    ),
    Mutation(
        'node-stops-without-draining',
        'node/_node.py',
        'self._settings.stop_grace_ms / _MILLISECONDS',
        '0',
        'tests.functional.test_planned_shutdown.PlannedShutdownTest'
        '.test_rolling_restart_of_all_nodes',
    ),
    Mutation(
        'accepted-connections-cut-by-a-stop',
        'node/_node.py',
        'while self._client_server.connection_count and',
        'while False and',
        'tests.functional.test_native_stop.NativeStopTest',
    ),
    Mutation(
        'members-released-before-teardown',
        'grouping/_teardown.py',
        """        if why:
            return why
        if self._member""",
        """        if not why:
            return 'at once'
        if self._member""",
        _RANDOM_FAULTS,
    ),
    Mutation(
        'absent-members-taken-for-released',
        'grouping/_teardown.py',
        '_MAX_ABSENCE_SECONDS = 60.0',
        '_MAX_ABSENCE_SECONDS = 0.5',
        f'{_LAPSED}.LapsedReplicasTest',
    ),
    Mutation(
        'returned-members-taken-for-free',
        'grouping/_orphans.py',
        'self._reopened.members(), self._members_before_head()',
        'self._reopened.members()',
        f'{_LAPSED}.MembersListedAnewTest',
    ),
    Mutation(
        'reset-taken-for-the-end-of-an-answer',
        'http/_client.py',
        'await self._background.check()',
        'await curio.sleep(0)',
        'tests.unit.test_reset_uploads.ResetUploadTest',
    ),
    Mutation(
        'answers-held-until-the-upload-is-read',
        'http/_background_write.py',
        '_RESET_WAIT_SECONDS = 0.5',
        '_RESET_WAIT_SECONDS = 60.0',
        'tests.unit.test_reset_uploads.ResetUploadTest',
    ),
    Mutation(
        'folded-header-lines-joined',
        'http/_response_heads.py',
        '    if folded:',
        '    if not end:',
        'tests.unit.test_malformed_heads.MalformedHeadsTest',
    ),
    Mutation(
        'members-in-use-not-awaited',
        'grouping/_formation.py',
        'and not self._belongs_to_other_replica(name)',
        'and bool(name)',
        _RANDOM_FAULTS,
    ),
    Mutation(
        'replica-opened-before-all-members-ready',
        'grouping/_formation.py',
        'return all(self._phase(name) in phases',
        'return any(self._phase(name) in phases',
        'tests.unit.test_grouping.GroupingTest'
        '.test_no_head_opens_before_all_are_ready',
    ),
    Mutation(
        'refusals-use-up-attempts-of-begun-streams',
        'forwarding/_failures.py',
        'return self.sent_count - self.refused_count',
        'return self.sent_count',
        f'{_HANDOVER}.test_stream_cut_for_a_refusal_before_it_began',
    ),
    Mutation(
        'attempts-beside-others-not-ended',
        'forwarding/_handover.py',
        'await task.cancel(blocking=False)',
        'await curio.sleep(0)',
        f'{_HANDOVER}.test_targets_work_on_after_the_client_has_left',
    ),
    Mutation(
        'targets-of-lost-attempts-left-out',
        'forwarding/_target_choice.py',
        'self._lost[attempt.name] = attempt.target_count',
        'self._lost.clear()',
        f'{_HANDOVER}.test_targets_used_up_by_silences',
    ),
    Mutation(
        'attempts-of-peers-uncounted',
        'forwarding/_attempt_limit.py',
        'attempt.granted += is_granted',
        'attempt.granted += 0',
        'tests.unit.test_attempts_over_peers',
    ),
    Mutation(
        'waiting-requests-taken-for-new',
        'forwarding/_gateway.py',
        'started = request.arrived_at',
        'started = since_boot()',
        'tests.unit.test_deadlines',
    ),
    Mutation(
        'requests-of-clients-that-left-sent',
        'forwarding/_forwarder.py',
        'await curio.sleep(0)\n    await curio.check_cancellation()',
        'await curio.current_task()',
        'tests.functional.test_requests_of_paused_nodes',
    ),
    Mutation(
        'late-questions-of-peers-granted',
        'peer_calls/_grants.py',
        'age_seconds < _TIMEOUT_SECONDS',
        'age_seconds >= 0',
        'tests.unit.test_deadlines_over_peers',
    ),
    Mutation(
        'refusals-over-peers-uncounted',
        'forwarding/_peer_requests.py',
        'refused_by=list(refused_by)',
        'refused_by=[]',
        'tests.unit.test_refusals_over_peers',
    ),
    Mutation(
        'cut-responses-taken-for-whole',
        'http/_client.py',
        'raise ConnectionBrokenError(\n'
        "                f'{self.address} did not finish its response: {error}',\n"
        '            ) from error',
        'return h11.EndOfMessage()',
        'tests.unit.test_cut_heads',
    ),
    Mutation(
        'late-arrivals-forgotten',
        'retries/_shared.py',
        'if arrived_by > withdrawn_at + ARRIVAL_SECONDS:',
        'if arrived_by < 0:',
        'tests.unit.test_late_arrivals',
    ),
    Mutation(
        'abandoned-requests-delivered',
        'http/_client.py',
        '        if is_given_up:\n            reset_on_close(self._sock)\n',
        '',
        'tests.unit.test_abandoned_requests',
    ),
    Mutation(
        'unread-retries-not-held',
        'forwarding/_arrivals.py',
        'self._retries.hold(withdrawn_at, self._unread.pop())',
        'self._unread.pop()',
        'tests.unit.test_late_arrivals',
    ),
    Mutation(
        'bodies-of-refused-heads-read',
        'http/_request_reader.py',
        'if may_be_large and not admits(_build_request(head)):',
        'if may_be_large and not head:',
        'tests.unit.test_refused_heads',
    ),
    Mutation(
        'requests-without-bound',
        'http/_request_memory.py',
        'while self.held_bytes > self.limit_bytes and len(self._large) > 1:',
        'while self.limit_bytes < 0:',
        'tests.unit.test_request_memory',
    ),
    Mutation(
        'shares-given-at-the-start',
        'retries/_shared.py',
        'self._registered_at() + LOAN_SECONDS + self._held_seconds',
        'self._registered_at()',
        'tests.unit.test_shared_retry_budget',
    ),
    Mutation(
        'late-requests-of-a-stop-taken',
        'forwarding/_stop_gate.py',
        'call.ends_at <= stop.ends_at',
        'call.ends_at > 0',
        'tests.unit.test_stop_gate',
    ),
    Mutation(
        'slots-of-any-size-taken',
        'ports/_numbers.py',
        'Meta(le=_MAX_SLOTS)',
        'Meta()',
        'tests.platform.test_odd_values.OddValuesTest'
        '.test_entry_ends_the_nodes',
    ),
    Mutation(
        'requests-with-unknown-outcome-retried',
        'forwarding/_failures.py',
        'return call.may_repeat or not self.may_have_run',
        'return call is not None',
        f'{_BUFFERED_RESPONSES}.test_unknown_outcome_is_not_repeated',
    ),
    Mutation(
        'responses-to-other-requests-accepted',
        'forwarding/_own_response.py',
        'if answered_id == self._call.request_id:',
        'if head:',
        f'{_BUFFERED_RESPONSES}.test_response_of_another_request_is_discarded',
    ),
    Mutation(
        'responses-without-request-id-accepted',
        'forwarding/_own_response.py',
        'if answered_id == self._call.request_id:',
        'if not answered_id or answered_id == self._call.request_id:',
        f'{_SURPLUS_RESPONSES}.test_surplus_responses_reach_no_caller',
    ),
    Mutation(
        'partial-body-discarded',
        'http/_client.py',
        'while chunk := await self.read_chunk():',
        'self._body.clear()\n        while chunk := await self.read_chunk():',
        f'{_SURPLUS_RESPONSES}.test_response_received_in_parts',
    ),
    Mutation(
        'desynchronized-connections-reused',
        'http/_client.py',
        '            and _is_response_read(self._parser, self._pending_event)\n'
        '            and not self.has_surplus_data\n',
        '            and _is_response_read(self._parser, self._pending_event)\n',
        f'{_SURPLUS_RESPONSES}.test_desynchronized_connection_is_closed',
    ),
    Mutation(
        'kept-connections-to-unreliable-targets-reused',
        'forwarding/_connections.py',
        """must_open = require_new or (
            require_recent and self._is_unreliable(instance)
        )""",
        'must_open = require_new',
        f'{_SURPLUS_RESPONSES}.test_truncated_surplus_response_costs_one_call',
    ),
    Mutation(
        'unsigned-responses-accepted',
        'forwarding/_sender.py',
        'if head.is_success and not facts.is_genuine:',
        'if head is None:',
        f'{_BUFFERED_RESPONSES}.test_unsigned_response_is_rejected',
    ),
    Mutation(
        'incomplete-events-forwarded',
        'http/_event_buffer.py',
        'complete = chunk[:complete_end]',
        'complete = chunk',
        'tests.unit.test_forwarding.StreamTest.test_resumes_between_complete_events',
    ),
    Mutation(
        'forwarded-notices-forwarded-again',
        'mesh/_handler.py',
        'if self._is_new(message) and not is_forwarded:',
        'if self._is_new(message):',
        'tests.unit.test_mesh.SimultaneousRelaysTest',
    ),
    Mutation(
        'relays-chosen-by-name',
        'mesh/_roster.py',
        'return 0 if peer is None else -peer.link_mbps, name',
        'return 0, name',
        'tests.unit.test_mesh.RelayChoiceTest',
    ),
    Mutation(
        'copies-of-configurations-unlimited',
        'mesh/_config_copies.py',
        'if self._busy_until > now + _MAX_BACKLOG_SECONDS:',
        'if not config:',
        'tests.unit.test_config_copies',
    ),
    Mutation(
        'arriving-answers-abandoned',
        'fleet/_store_reachability.py',
        'if is_arriving():',
        'if not since:',
        'tests.platform.test_slow_links.SlowLinkTest'
        '.test_lost_history_of_another_table',
    ),
    Mutation(
        'crashing-segments-not-held',
        'quarantine/_case.py',
        'begun >= _HOLD_SEGMENT_THRESHOLD',
        'begun > _MAX_SEGMENT_TERMINATIONS',
        'tests.unit.test_segments.SegmentsTest',
    ),
    Mutation(
        'silent-crashes-not-held',
        'quarantine/_case.py',
        'count >= _HOLD_SEGMENT_ANY_THRESHOLD',
        'count > _MAX_SEGMENT_TERMINATIONS',
        'tests.unit.test_segments.SegmentsTest',
    ),
    Mutation(
        'answers-clear-no-segments',
        'quarantine/_survival.py',
        'identities, self._began_at, seconds',
        '(), self._began_at, seconds',
        'tests.unit.test_segments.SegmentsTest',
    ),
    Mutation(
        'unframed-streams-without-events-are-complete',
        'forwarding/_stream.py',
        'if not has_events and not answer.head.is_framed:',
        'if not has_events and not answer.head:',
        'tests.unit.test_unframed_answers.UnframedStreamTest',
    ),
    Mutation(
        'crashing-requests-not-held',
        'quarantine/_case.py',
        'begun >= HOLD_BEGUN_THRESHOLD or len(unexplained) >= _HOLD_THRESHOLD',
        'not unexplained and begun',
        'tests.unit.test_crashing_requests.CrashingRequestTest.test_streams',
    ),
    Mutation(
        'abandoned-attempts-forgotten',
        'quarantine/_guard.py',
        'if may_still_run and progress.was_sent:',
        'if may_still_run and not progress:',
        'tests.unit.test_crashing_requests.CrashingRequestTest'
        '.test_crashes_after_the_deadline',
    ),
    Mutation(
        'isolated-copies-sent-together',
        'quarantine/_settling.py',
        'return max(0, settled_at - self._clock())',
        'return 0 * settled_at',
        'tests.unit.test_crashing_requests.CrashingRequestTest'
        '.test_copies_of_an_isolated_request',
    ),
    Mutation(
        'isolated-copies-not-announced',
        'quarantine/_guard.py',
        'if verdict is Verdict.ISOLATED:',
        'if verdict is None:',
        'tests.unit.test_crashing_requests.CrashingRequestTest'
        '.test_nodes_know_of_each_others_copies',
    ),
    Mutation(
        'pauses-count-as-silence',
        'clocks.py',
        'if self._is_ticking and gap > _MAX_GAP_SECONDS:',
        'if self._is_ticking and gap < 0:',
        'tests.platform.test_paused_nodes.PausedNodesTest'
        '.test_nodes_still_know_each_other',
    ),
    Mutation(
        'failed-connections-count-as-termination',
        'quarantine/_probe.py',
        """        except ConnectFailedError:
            return False
        return False""",
        """        except ConnectFailedError:
            return True
        return True""",
        'tests.unit.test_quarantine.TerminationProbeTest.test_only_a_refused_connection_is_proof',
    ),
    Mutation(
        'suspended-time-not-counted',
        'clocks.py',
        'return time.clock_gettime(time.CLOCK_BOOTTIME)',
        'return time.monotonic()',
        'tests.unit.test_suspension.SuspensionTest.test_lease_is_lost_during_suspension',
    ),
    Mutation(
        'no-listening-before-modules-are-imported',
        'listening.py',
        'if not host or not port.isdecimal():',
        'if True:',
        'tests.functional.test_node_start.NodeStartTest'
        '.test_connection_before_the_node_has_started',
    ),
    Mutation(
        'requests-not-held-during-startup',
        'forwarding/_startup.py',
        'while not self._is_informed() and self._clock() < wait_until:',
        'while False:',
        'tests.unit.test_startup_gate.StartupGateTest.test_waits_until_informed',
    ),
    Mutation(
        'entries-missing-after-an-outage-dropped',
        'fleet/_instance_list.py',
        'if grace_until and self._is_mass_lapse(missing):',
        'if False:',
        'tests.unit.test_list_after_outage.MissingEntriesTest'
        '.test_many_missing_instances_are_kept_after_an_outage',
    ),
    Mutation(
        'every-reader-polls-an-unreachable-store',
        'fleet/_store_reachability.py',
        'if self._probing_reader == reader:',
        'if True:',
        'tests.unit.test_store_reachability.StoreReachabilityTest'
        '.test_one_reader_polls_an_unreachable_store',
    ),
    Mutation(
        'broken-targets-not-reported',
        'routing/_broken.py',
        'self._report(incarnation)',
        'return',
        'tests.unit.test_broken_plain_instances.BrokenPlainInstanceTest'
        '.test_a_broken_connection_ejects_at_once',
    ),
    Mutation(
        'target-limits-not-enforced',
        'throttling/_allotments.py',
        'return allotment.nodes > 0 and allotment.bucket.has_tokens(\n'
        '            required, now\n'
        '        )',
        'return True',
        _LIMIT_SHARES,
    ),
    Mutation(
        'node-count-of-limited-targets-unbounded',
        'throttling/_allotments.py',
        'self._rule.max_nodes(limit)',
        '1000',
        _LIMIT_SHARES,
    ),
    Mutation(
        'limit-handover-without-delay',
        'throttling/_allotments.py',
        'starts_at = now + self._handover_seconds',
        'starts_at = now - self._handover_seconds',
        _LIMIT_SHARES,
    ),
    Mutation(
        'increased-shares-of-cold-targets-used-at-once',
        'throttling/_cold_throttle.py',
        'delays_increases=True',
        'delays_increases=False',
        _COLD_TARGETS,
    ),
    Mutation(
        'restarted-nodes-send-to-cold-targets-at-once',
        'throttling/_cold.py',
        'max(now, last_sent_at + WINDOW_SECONDS + JITTER_SECONDS)',
        'now',
        _COLD_TARGETS,
    ),
    Mutation(
        'new-nodes-send-to-cold-targets-at-once',
        'mesh/_rendezvous.py',
        'if local.stopping or not local.is_established:',
        'if local.stopping:',
        'tests.unit.test_rendezvous',
    ),
    Mutation(
        'stale-responses-lift-limits',
        'throttling/_limits.py',
        'sent_at < known.confirmed_at and not',
        'sent_at < 0 and not',
        'tests.unit.test_limit_registry',
    ),
    Mutation(
        'target-backoffs-not-honoured',
        'throttling/_throttle.py',
        'if self._backoffs.remaining_seconds(incarnation):',
        'if not incarnation.id:',
        'tests.unit.test_target_throttle',
    ),
    Mutation(
        'throttle-not-checked-before-sending',
        'forwarding/_sender.py',
        'if not self.router.throttle.may_send(',
        'if not self and self.router.throttle.may_send(',
        'tests.unit.test_target_throttle',
    ),
    Mutation(
        'announced-leaving-overwritten-by-the-list',
        'fleet/_instance_list.py',
        'if entry.leaving or entry.incarnation not in self._leaving:',
        'if entry:',
        'tests.unit.test_announced_leaving.FleetMarkingTest',
    ),
    Mutation(
        'row-versions-without-era',
        'platform/_wire_rows.py',
        'self.schema_version = make_version(era, self.schema_version)',
        'self.schema_version = make_version(0, self.schema_version)',
        f'{_ROW_VERSIONS}.test_versions_rise_over_a_restore',
    ),
    Mutation(
        'changes-between-pages-not-applied',
        'platform/_paged_read.py',
        '            self._apply(row)',
        '            self._apply(row) if row.deleted is None else None',
        'tests.platform.test_paged_reads.PagedReadTest',
    ),
    Mutation(
        'unanswered-orders-stay-valid',
        'grouping/_fenced_orders.py',
        'if not any(sent.fencing >= fencing for sent in unanswered):',
        'if sum(1 for sent in unanswered) >= 0:',
        'tests.unit.test_late_orders.LateOrdersTest',
    ),
    Mutation(
        'conditions-of-an-earlier-era-accepted',
        'platform/_tables.py',
        'if any(era_of(version) != era for version in versions):',
        'if not versions:',
        f'{_ROW_VERSIONS}.test_check_of_an_earlier_era_fails',
    ),
    Mutation(
        'fencing-tokens-restart-after-restore',
        'leases/_lease.py',
        'fencing = make_version(self._table.era, 1)',
        'fencing = 1',
        'tests.unit.test_lease.LeaseTest.test_holder_renews_after_a_restore',
    ),
    Mutation(
        'restored-snapshot-treated-as-complete',
        'fleet/_source_follower.py',
        'self._apply_restored(items)',
        'self._apply(items, True)',
        f'{_RESTORED_STORE}.test_new_target_lost_after_restore',
    ),
    Mutation(
        'lapsed-entries-accepted-at-once-after-restore',
        'fleet/_instance_list.py',
        'if name not in self.instances\n'
        '            and item.incarnation in self._lapsed_incarnations',
        'if not name',
        f'{_RESTORED_STORE}.test_deleted_target_used_after_restore',
    ),
    Mutation(
        'missing-records-not-rewritten',
        'grouping/_record_store.py',
        'await self._rewrite_missing()',
        'self.records()',
        f'{_RESTORED_RECORDS}.test_missing_records_are_written_again',
    ),
    Mutation(
        'members-of-orphaned-replicas-reassigned',
        'grouping/_inventory.py',
        'used.update(self._orphans.members())',
        'used.update(())',
        f'{_RESTORED_RECORDS}.test_an_orphaned_replica_is_adopted',
    ),
    Mutation(
        'full-reads-not-shared-with-other-nodes',
        'fleet/_source_follower.py',
        'if earlier >= 0 and self._sharing is not None:',
        'if earlier < 0 and self._sharing is not None:',
        'tests.platform.test_reads_after_restore.ReadsAfterRestoreTest'
        '.test_nine_nodes_read_a_forgotten_history',
    ),
)


def main(names: Sequence[str]) -> int:
    """Run the named mutations, or all; return the number not detected."""
    selected = [
        mutation
        for mutation in MUTATIONS
        if not names or mutation.name in names
    ]
    return sum(not _is_detected(mutation) for mutation in selected)


def _is_detected(mutation: Mutation) -> bool:
    with tempfile.TemporaryDirectory() as scratch_folder:
        scratch = Path(scratch_folder)
        for folder_name in _COPIED_FOLDERS:
            shutil.copytree(_ROOT / folder_name, scratch / folder_name)
        _apply(scratch / 'src' / 'cranecart' / mutation.file, mutation)
        run = subprocess.run(
            [sys.executable, '-m', 'unittest', mutation.test],
            cwd=scratch,
            env={**os.environ, 'PYTHONPATH': str(scratch / 'src')},
            capture_output=True,
            check=False,
            text=True,
        )
    is_detected = _FAILURE_PREFIX in f'\n{run.stderr}'
    verdict = 'detected' if is_detected else 'NOT DETECTED'
    last_lines = ' | '.join(run.stderr.strip().splitlines()[-_OUTPUT_LINES:])
    sys.stdout.write(f'{mutation.name}: {verdict} ({last_lines})\n')
    sys.stdout.flush()
    return is_detected


def _apply(file: Path, mutation: Mutation) -> None:
    source = file.read_text('utf-8')
    if mutation.original not in source:
        sys.exit(
            f'{mutation.name}: the source text to replace is not in '
            f'{mutation.file}',
        )
    file.write_text(
        source.replace(mutation.original, mutation.replacement), 'utf-8'
    )


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
