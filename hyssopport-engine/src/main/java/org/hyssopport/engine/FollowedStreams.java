package org.hyssopport.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.openhft.hashing.LongHashFunction;
import org.hyssopport.engine.platform.StreamName;
import org.hyssopport.engine.work.ConfigurationProjection;
import org.hyssopport.engine.work.ProjectedJob;
import org.hyssopport.engine.work.StreamFollower;
import org.hyssopport.engine.work.StreamFollower.AppliedRecord;
import org.hyssopport.engine.work.WorkProjection;

/** The streams of the log that this instance follows. */
final class FollowedStreams {

  static final StreamName CONFIGURATION = new StreamName("configuration");

  private static final String WORK_PREFIX = "work-";
  private static final Pattern GIVEN_ID = Pattern.compile("j(\\d{1,4})-.+@.+");
  private static final LongHashFunction HASH = LongHashFunction.xx3();

  private final StreamFollower<ConfigurationProjection> configuration =
      StreamFollower.of(ConfigurationProjection.empty());
  private final List<StreamFollower<WorkProjection>> work = new ArrayList<>();

  FollowedStreams(int count) {
    for (int index = 0; index < count; index++) {
      work.add(StreamFollower.of(WorkProjection.empty()));
    }
  }

  int count() {
    return work.size();
  }

  List<StreamName> names() {
    List<StreamName> names = new ArrayList<>();
    names.add(CONFIGURATION);
    for (int index = 0; index < work.size(); index++) {
      names.add(name(index));
    }
    return names;
  }

  StreamName name(int index) {
    return new StreamName(WORK_PREFIX + index);
  }

  /** Returns the index of a work stream; nothing for any other stream. */
  Optional<Integer> indexOf(StreamName name) {
    for (int index = 0; index < work.size(); index++) {
      if (name(index).equals(name)) {
        return Optional.of(index);
      }
    }
    return Optional.empty();
  }

  StreamFollower<ConfigurationProjection> configuration() {
    return configuration;
  }

  StreamFollower<WorkProjection> work(int index) {
    return work.get(index);
  }

  WorkProjection fold(int index) {
    return work.get(index).projection();
  }

  /** Returns an id for a new job whose home is the given stream. */
  static String givenId(int index, String unique) {
    return "j" + index + "-" + unique;
  }

  /** Tells whether an id looks like one that hyssopport gives out. */
  static boolean isGivenId(String id) {
    return GIVEN_ID.matcher(id).matches();
  }

  /** Returns the home stream of a job or key, found from its id alone. */
  int home(String id) {
    Matcher given = GIVEN_ID.matcher(id);
    if (given.matches() && Integer.parseInt(given.group(1)) < work.size()) {
      return Integer.parseInt(given.group(1));
    }
    return (int) Long.remainderUnsigned(HASH.hashChars(id), work.size());
  }

  Optional<ProjectedJob> job(String id) {
    return fold(home(id)).job(id);
  }

  /** Takes records as read, and returns what was applied. */
  List<AppliedRecord> take(Event.StreamRead read) {
    if (read.stream().equals(CONFIGURATION)) {
      return configuration.applyRecords(read.firstRetained(), read.records());
    }
    return indexOf(read.stream())
        .map(index -> work.get(index).applyRecords(read.firstRetained(), read.records()))
        .orElse(List.of());
  }
}
