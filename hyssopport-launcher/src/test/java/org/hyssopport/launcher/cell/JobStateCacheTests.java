package org.hyssopport.launcher.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.hyssopport.engine.job.JobDefinition;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.JobOwner;
import org.hyssopport.engine.job.JobProgress;
import org.hyssopport.engine.job.JobState;
import org.hyssopport.engine.job.JournalEntry;
import org.hyssopport.engine.organisation.CallerIdentity;
import org.hyssopport.engine.organisation.OrganisationId;
import org.hyssopport.launcher.cell.JobStateCache.JobLookup;
import org.hyssopport.launcher.cell.JobStateCache.LookupStatus;
import org.hyssopport.platform.StoreWrite;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the states of jobs that a member reads from the journal.
 *
 * <p>Guards against taking a record that can't be decoded for one that is not there.
 */
class JobStateCacheTests {

  private static final JobId ID = new JobId("0123456789abcdef");
  private static final byte[] UNREADABLE = {(byte) 0xc1};

  /** The end and the first retained offset of a topic without records. */
  private static final byte[] EMPTY_PAGE = new byte[2 * Long.BYTES];

  private final List<String> items = new ArrayList<>();
  private volatile Instant now = Instant.parse("2026-01-01T00:00:00Z");
  private volatile Duration readingTime = Duration.ZERO;
  private volatile boolean laterReadsFail;
  private volatile byte[] laterPage = EMPTY_PAGE;
  private final AtomicInteger laterReads = new AtomicInteger();
  private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
  private HttpServer storeServer;
  private JobStateCache cache;

  @BeforeEach
  void start() throws IOException {
    storeServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    storeServer.createContext(
        "/api/log-newest",
        exchange -> {
          now = now.plus(readingTime);
          String text =
              "{\"items\":[" + String.join(",", items) + "],\"end\":" + items.size() + "}";
          byte[] body = text.getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(200, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    storeServer.createContext(
        "/api/log-read",
        exchange -> {
          laterReads.incrementAndGet();
          boolean fails = laterReadsFail;
          byte[] page = laterPage;
          exchange.sendResponseHeaders(fails ? 503 : 200, fails ? -1 : page.length);
          if (!fails) {
            exchange.getResponseBody().write(page);
          }
          exchange.close();
        });
    storeServer.start();
    cache =
        new JobStateCache(
            MemberContexts.create(
                "127.0.0.1:" + storeServer.getAddress().getPort(), () -> now, logOutput));
  }

  @AfterEach
  void stop() {
    storeServer.stop(0);
  }

  private void addRecord(String key, byte[] value) {
    items.add(
        "{\"key\":\""
            + key
            + "\",\"value\":\""
            + Base64.getEncoder().encodeToString(value)
            + "\",\"offset\":"
            + items.size()
            + "}");
  }

  private void addRecordWithoutValue(String key) {
    items.add("{\"key\":\"" + key + "\",\"value\":\"%%%\",\"offset\":" + items.size() + "}");
  }

  private void addAcceptedJob() {
    JobDefinition job = SampleJobs.job(ID, SampleJobs.QUEUE, List.of(), Instant.EPOCH);
    for (StoreWrite write : JournalCodec.encode(List.of(new JournalEntry.Accepted(job)))) {
      addRecord(write.key(), write.value().orElseThrow());
    }
  }

  @Test
  void showsAcceptedJobsAsQueued() {
    addAcceptedJob();
    assertEquals(new JobLookup(LookupStatus.KNOWN, Optional.of(JobState.QUEUED)), cache.lookUp(ID));
  }

  /**
   * Lets the next read return the deletions of an entry, each as its length, the length of its key
   * and the key, after those that are in the journal.
   */
  private void deleteLater(JournalEntry entry) {
    ByteBuffer page = ByteBuffer.allocate(1000).putLong(items.size()).putLong(0);
    for (StoreWrite write : JournalCodec.encode(List.of(entry))) {
      byte[] key = write.key().getBytes(StandardCharsets.UTF_8);
      page.putInt(1 + key.length).put((byte) key.length).put(key);
    }
    laterPage = Arrays.copyOf(page.array(), page.position());
    now = now.plusSeconds(1);
  }

  // Guards against taking the deletion of the definition of an ended job for that of the job.
  @Test
  void showsTheFinalStateOfArchivedJobs() {
    addAcceptedJob();
    JobProgress ended = new JobProgress(ID, JobState.COMPLETE, List.of());
    for (StoreWrite write : JournalCodec.encode(List.of(new JournalEntry.Progressed(ended)))) {
      addRecord(write.key(), write.value().orElseThrow());
    }
    JobLookup complete = new JobLookup(LookupStatus.KNOWN, Optional.of(JobState.COMPLETE));
    assertEquals(complete, cache.lookUp(ID));
    deleteLater(new JournalEntry.Archived(ID));
    assertEquals(complete, cache.lookUp(ID));
    deleteLater(new JournalEntry.Forgotten(ID));
    assertEquals(LookupStatus.ABSENT, cache.lookUp(ID).status());
  }

  @Test
  void endedJobsAreOpenToTheirOwnerOnly() {
    JobOwner owner = new JobOwner(new OrganisationId("a"), "plans");
    JobProgress ended = new JobProgress(ID, JobState.COMPLETE, List.of(), Optional.of(owner));
    for (StoreWrite write : JournalCodec.encode(List.of(new JournalEntry.Progressed(ended)))) {
      addRecord(write.key(), write.value().orElseThrow());
    }
    assertEquals(LookupStatus.KNOWN, cache.lookUp(ID).status());
    assertTrue(cache.isOpenTo(ID, callerOf("a")));
    assertFalse(cache.isOpenTo(ID, callerOf("b")));
    deleteLater(new JournalEntry.Forgotten(ID));
    assertEquals(LookupStatus.ABSENT, cache.lookUp(ID).status());
    assertTrue(cache.isOpenTo(ID, callerOf("b")));
  }

  private static Optional<CallerIdentity> callerOf(String organisation) {
    return Optional.of(new CallerIdentity(Optional.of(new OrganisationId(organisation)), "plans"));
  }

  @Test
  void showsCancelledJobsThatNobodySubmittedAsAbsent() {
    for (StoreWrite write : JournalCodec.encode(List.of(new JournalEntry.Cancelled(ID)))) {
      addRecord(write.key(), write.value().orElseThrow());
    }
    assertEquals(LookupStatus.ABSENT, cache.lookUp(ID).status());
  }

  // Guards against taking the end of a cancellation for that of the job.
  @Test
  void showsJobsWhoseEarlierCancellationHasExpired() {
    addAcceptedJob();
    assertEquals(LookupStatus.KNOWN, cache.lookUp(ID).status());
    deleteLater(new JournalEntry.CancellationExpired(ID));
    assertEquals(LookupStatus.KNOWN, cache.lookUp(ID).status());
  }

  @Test
  void showsJobsWithoutRecordsAsAbsent() {
    assertEquals(LookupStatus.ABSENT, cache.lookUp(ID).status());
  }

  // A job that was stored while the whole journal was being read was shown as absent.
  @Test
  void doesNotDenyJobsThatMayHaveBeenStoredDuringLongReads() {
    readingTime = Duration.ofSeconds(4);
    laterReadsFail = true;
    assertEquals(LookupStatus.UNREACHABLE, cache.lookUp(ID).status());
  }

  @Test
  void showsJobsAsAbsentOnceTheRecordsAfterLongReadsAreRead() {
    readingTime = Duration.ofSeconds(4);
    assertEquals(LookupStatus.ABSENT, cache.lookUp(ID).status());
    assertEquals(1, laterReads.get());
  }

  // A job with an unreadable record was shown as absent, or in an earlier state.
  @ParameterizedTest
  @ValueSource(strings = {"j", "p"})
  @Timeout(10)
  void doesNotKnowTheStateOfJobsWithAnUnreadableRecord(String kind) {
    if (kind.equals("p")) {
      addAcceptedJob();
    }
    addRecord(kind + ID.text(), UNREADABLE);
    assertEquals(new JobLookup(LookupStatus.UNREADABLE, Optional.empty()), cache.lookUp(ID));
    // The log is written by a thread of its own.
    while (!logOutput.toString(StandardCharsets.UTF_8).contains("not decodable")) {
      assertTrue(Threads.pause(1));
    }
  }

  // No member could tell the state of any job while the store had such a record.
  @ParameterizedTest
  @ValueSource(strings = {"j", "p"})
  void showsOtherJobsBesideValuesThatAreNotBase64(String kind) {
    addRecordWithoutValue(kind + "fedcba9876543210");
    addAcceptedJob();
    assertEquals(LookupStatus.KNOWN, cache.lookUp(ID).status());
    assertEquals(LookupStatus.UNREADABLE, cache.lookUp(new JobId("fedcba9876543210")).status());
    assertEquals(LookupStatus.ABSENT, cache.lookUp(new JobId("00000000000000aa")).status());
  }

  @Test
  void showsOtherJobsBesideAnUnreadableRecord() {
    addAcceptedJob();
    addRecord("jfedcba9876543210", UNREADABLE);
    assertEquals(LookupStatus.KNOWN, cache.lookUp(ID).status());
  }
}
