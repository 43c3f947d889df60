"""The clean-up: orphans are deleted from their nodes, and uploads that nobody completes are aborted."""

from __future__ import annotations

import asyncio

from harriertide.engine.clock import sleep_until
from harriertide.engine.log import log
from harriertide.objects.records import Orphan
from harriertide.objects.store import ORPHAN_MARGIN_MS, ObjectStore

SWEEP_INTERVAL_S = 1.0
MAX_SWEPT_COUNT = 8  # of either kind in one sweep: it must not crowd out clients' requests
MS_PER_HOUR = 3_600_000


async def sweep_forever(store: ObjectStore) -> None:
    """Sweep at the interval, until it is cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        await sleep_until(loop.time() + SWEEP_INTERVAL_S)
        try:
            _abort_expired_uploads(store)
            for orphan in store.catalogue.due_orphans(store.now_ms(), MAX_SWEPT_COUNT):
                await _delete_orphan(store, orphan)
        except Exception as fault:  # guards against one bad row that ends the clean-up for good
            log("orphan sweep failed", kind=type(fault).__name__, reason=str(fault))


def _abort_expired_uploads(store: ObjectStore) -> None:
    began_before_ms = store.now_ms() - store.limits["upload_hours"] * MS_PER_HOUR
    for upload in store.catalogue.expired_uploads(began_before_ms, MAX_SWEPT_COUNT):
        store.counts["uploads_expired"] += 1
        store.catalogue.abort_upload(upload)


async def _delete_orphan(store: ObjectStore, orphan: Orphan) -> None:
    if not store.has_node(orphan.node):
        store.catalogue.forget_orphan(orphan.blob)  # gone with its node
    elif await store.delete(orphan):
        store.counts["strays_deleted"] += 1
        store.catalogue.forget_orphan(orphan.blob)
    else:
        store.catalogue.mark_orphan(orphan.blob, store.now_ms() + ORPHAN_MARGIN_MS)
