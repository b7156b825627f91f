package org.hyssopport.launcher.cell;

import java.util.concurrent.ExecutorService;
import org.hyssopport.engine.scheduler.SchedulerSettings;
import org.hyssopport.platform.InstanceSettings;
import org.hyssopport.platform.MetadataStore;
import org.hyssopport.platform.WorkerGateway;

/**
 * What the components of a member share.
 *
 * @param settings the instance's settings
 * @param schedulerSettings the scheduler's time limits
 * @param store the metadata store
 * @param workerGateway the client for calls of workers
 * @param clock the local steady clock
 * @param log the log of decisions and changes of state
 * @param metrics the metrics
 * @param orderExecutor sends start and stop orders to workers
 * @param pollExecutor polls workers; a poll waits for the end of a run
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
