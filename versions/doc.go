// Package versions decides at which version of the engines' software a stream may go on.
//
// While a service's engines are replaced, two versions of their software serve side by side. What they write doesn't fit
// together, and engines don't check it: a stream that has begun must go on at the version that wrote its first event. An
// instance knows that version of the streams that it serves itself. A caller whose stream has broken off requests the
// rest from any instance, often because the one that served it is gone.
//
// Memory holds the origins of streams: those that the instance serves, and those that it keeps for others. Keepers says
// which instances keep the origin of a stream; the first of them writes it to the store, from which it is read after all
// have lost their memory. Open holds the versions at which streams of a service may have begun: with only one, origins
// need not be kept at all. All are decisions without input and output.
package versions
