package lemondock.exporter.graphite;

import java.util.ArrayList;
import java.util.List;
import lemondock.exporter.Labels;
import lemondock.metrics.Field;
import lemondock.metrics.Series;

/**
 * Graphite's names of values: a path of parts, or a name with tags (Graphite 1.1). Built once for a
 * series.
 */
final class Paths {
  private final String prefix;
  private final String instance;
  private final boolean tags;
  private final List<List<String>> known = new ArrayList<>();

  /** {@code prefix} may have dots, which part it; the instance is one part. */
  Paths(String prefix, String instance, boolean tags) {
    this.prefix = prefix;
    this.instance = Labels.escape(instance);
    this.tags = tags;
  }

  /** The names of a series' fields. */
  List<String> of(Series s) {
    while (known.size() <= s.number()) {
      known.add(null);
    }
    List<String> names = known.get(s.number());
    if (names == null) {
      names = new ArrayList<>();
      for (Field field : s.family().fields()) {
        names.add(tags ? tagged(s, field) : path(s, field));
      }
      known.set(s.number(), names);
    }
    return names;
  }

  private String path(Series s, Field field) {
    StringBuilder text =
        new StringBuilder(prefix)
            .append('.')
            .append(instance)
            .append('.')
            .append(s.family().name());
    s.labels().forEach(label -> text.append('.').append(Labels.escape(label)));
    return text.append('.').append(field.name()).toString();
  }

  private String tagged(Series s, Field field) {
    StringBuilder text =
        new StringBuilder(prefix)
            .append('.')
            .append(s.family().name())
            .append('.')
            .append(field.name())
            .append(";instance=")
            .append(instance);
    for (int i = 0; i < s.labels().size(); i++) {
      text.append(';')
          .append(s.family().dimensions().get(i))
          .append('=')
          .append(Labels.escape(s.labels().get(i)));
    }
    return text.toString();
  }
}
