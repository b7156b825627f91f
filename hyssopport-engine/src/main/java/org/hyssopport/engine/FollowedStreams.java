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

/** The log streams that this instance reads: the configuration and all work streams. */
final class FollowedStreams {

  static final StreamName CONFIGURATION = new StreamName("configuration");

  private static final String WORK_PREFIX = "work-";
  private static final Pattern GENERATED_ID = Pattern.compile("j(\\d{1,4})-.+@.+");
  private static final LongHashFunction HASH = LongHashFunction.xx3();

  private final StreamFollower<ConfigurationProjection> configuration =
      StreamFollower.of(ConfigurationProjection.empty());
  private final List<StreamFollower<WorkProjection>> workStreams = new ArrayList<>();

  FollowedStreams(int count) {
    for (int index = 0; index < count; index++) {
      workStreams.add(StreamFollower.of(WorkProjection.empty()));
    }
  }

  int count() {
    return workStreams.size();
  }

  List<StreamName> names() {
    List<StreamName> names = new ArrayList<>();
    names.add(CONFIGURATION);
    for (int index = 0; index < workStreams.size(); index++) {
      names.add(name(index));
    }
    return names;
  }

  StreamName name(int index) {
    return new StreamName(WORK_PREFIX + index);
  }

  /** Returns the index of a work stream, or nothing for any other stream. */
  Optional<Integer> indexOf(StreamName name) {
    for (int index = 0; index < workStreams.size(); index++) {
      if (name(index).equals(name)) {
        return Optional.of(index);
      }
    }
    return Optional.empty();
  }

  StreamFollower<ConfigurationProjection> configuration() {
    return configuration;
  }

  StreamFollower<WorkProjection> workStream(int index) {
    return workStreams.get(index);
  }

  WorkProjection projection(int index) {
    return workStreams.get(index).projection();
  }

  /** Returns an id for a new job whose home is the work stream of the given index. */
  static String generatedId(int index, String unique) {
    return "j" + index + "-" + unique;
  }

  /** Returns whether an id has the form of the ids that hyssopport generates. */
  static boolean isGeneratedId(String id) {
    return GENERATED_ID.matcher(id).matches();
  }

  /** Returns the index of the home stream of a job or key, computed from its id alone. */
  int homeStream(String id) {
    Matcher generated = GENERATED_ID.matcher(id);
    if (generated.matches() && Integer.parseInt(generated.group(1)) < workStreams.size()) {
      return Integer.parseInt(generated.group(1));
    }
    return (int) Long.remainderUnsigned(HASH.hashChars(id), workStreams.size());
  }

  Optional<ProjectedJob> job(String id) {
    return projection(homeStream(id)).job(id);
  }

  /** Applies the records that were read from a stream, and returns those that were applied. */
  List<AppliedRecord> applyRecords(Event.StreamRead read) {
    if (read.stream().equals(CONFIGURATION)) {
      return configuration.applyRecords(read.firstRetained(), read.records());
    }
    return indexOf(read.stream())
        .map(index -> workStreams.get(index).applyRecords(read.firstRetained(), read.records()))
        .orElse(List.of());
  }
}
