package org.hyssopport.launcher.cell;

import java.time.InstantSource;
import java.util.concurrent.ExecutorService;
import org.hyssopport.engine.scheduler.SchedulerSettings;
import org.hyssopport.platform.InstanceSettings;
import org.hyssopport.platform.MetadataStore;
import org.hyssopport.platform.WorkerGateway;

/**
 * The settings, clients and executors that the components of a member share.
 *
 * @param settings the instance's settings
 * @param schedulerSettings the time limits of the scheduler
 * @param store the metadata store
 * @param workerGateway the client for calls to workers
 * @param clock the local monotonic clock
 * @param log the log of decisions and changes of state
 * @param metrics the metrics of the member
 * @param orderExecutor runs the calls that send start and stop orders to workers
 * @param pollExecutor runs the polls of workers; a poll may wait for the end of a run
 */
record MemberContext(
    InstanceSettings settings,
    SchedulerSettings schedulerSettings,
    MetadataStore store,
    WorkerGateway workerGateway,
    InstantSource clock,
    DecisionLog log,
    CellMetrics metrics,
    ExecutorService orderExecutor,
    ExecutorService pollExecutor) {

  /** Makes the metrics count the records that the log names as unreadable. */
  MemberContext {
    log.setUnreadableRecordListener(metrics::countUnreadableRecord);
  }
}
