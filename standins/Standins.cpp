namespace marigoldpaddle {
}
