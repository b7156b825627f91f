package org.hyssopport.launcher.cell;

import java.util.concurrent.ExecutorService;
import org.hyssopport.engine.scheduler.SchedulerSettings;
import org.hyssopport.platform.InstanceSettings;
import org.hyssopport.platform.MetadataStore;
import org.hyssopport.platform.WorkerGateway;

/**
 * What the duties of a member share.
 *
 * @param settings the instance's settings
 * @param scheduling the scheduler's time bounds
 * @param store the metadata store
 * @param workers calls workers
 * @param clock the local steady clock
 * @param log the log of decisions
 * @param metrics the metrics
 * @param orders runs orders to workers
 * @param looks runs looks at workers, which wait for ends
 */
record MemberContext(
    InstanceSettings settings,
    SchedulerSettings scheduling,
    MetadataStore store,
    WorkerGateway workers,
    SteadyClock clock,
    DecisionLog log,
    CellMetrics metrics,
    ExecutorService orders,
    ExecutorService looks) {}
