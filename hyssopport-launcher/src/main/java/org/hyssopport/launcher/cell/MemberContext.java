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
 * @param schedulerSettings the scheduler's time bounds
 * @param store the metadata store
 * @param workerGateway calls workers
 * @param clock the local steady clock
 * @param log the log of decisions
 * @param metrics the metrics
 * @param orderExecutor runs orders to workers
 * @param pollExecutor runs looks at workers, which wait for ends
 */
record MemberContext(
    InstanceSettings settings,
    SchedulerSettings schedulerSettings,
    MetadataStore store,
    WorkerGateway workerGateway,
    SteadyClock clock,
    DecisionLog log,
    CellMetrics metrics,
    ExecutorService orderExecutor,
    ExecutorService pollExecutor) {}
