package org.coltsfootproxy.entry;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.RequestId;
import org.coltsfootproxy.message.Header;

/** Headers forwarded to a target: the caller's without its key, plus those that the entry adds. */
final class ForwardedHeaders {
    /** Header with the id of the organisation for which a request runs. */
    static final String ORGANISATION_HEADER = "x-organisation";

    /** Header with the id of the request. */
    static final String REQUEST_ID_HEADER = "x-request-id";

    private ForwardedHeaders() {}

    static List<Header> of(
            List<Header> callerHeaders, OrganisationId organisation, RequestId request) {
        return ImmutableList.<Header>builder()
                .addAll(CallerCheck.forwardableHeaders(callerHeaders))
                .add(Header.of(ORGANISATION_HEADER, organisation.value()))
                .add(Header.of(REQUEST_ID_HEADER, request.toString()))
                .build();
    }
}
